// Command standins plays one case: it starts gateways as processes, and a store, replicas and clients as
// stand-ins, and checks what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxLost is how often a machine may close a kept connection without an answer to a request that it has
// passed on to a sound replica.
const maxLost = 3

// cases holds the cases by name; each returns the exit status.
var cases = map[string]func(b *bed) int{
	"endless": playEndless,
	"tokens":  playTokens,
	"idle":    playIdle,
	"banned":  playBanned,
	"cut":     playCut,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "replica" {
		serveReplica(os.Args[2])
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standins CASE FOLDER PROGRAM")
		os.Exit(exitNotRun)
	}
	b := newBed(os.Args[2], os.Args[3])
	b.trouble.Store(os.Getenv("TROUBLE") != "0")
	b.say("case %s, disruption %t", os.Args[1], b.trouble.Load())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		b.close()
		os.Exit(exitNotRun)
	}()
	code := b.play(cases[os.Args[1]])
	b.close()
	os.Exit(code)
}

// play plays a case. A stand-in that can't go on panics; the case then couldn't run.
func (b *bed) play(playCase func(b *bed) int) (code int) {
	defer func() {
		if problem := recover(); problem != nil {
			b.say("the case could not run: %v", problem)
			code = exitNotRun
		}
	}()
	return playCase(b)
}

// lost returns the requests whose kept connection ended without any answer though a sound replica had
// begun to work on them, by gateway, and the number of those whose answer ended early.
func (b *bed) lost() (unanswered map[string][]result, cut int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	unanswered = map[string][]result{}
	for _, res := range b.results {
		r := b.runs[res.id]
		timeout := res.endedAt.Sub(res.sentAt) >= res.deadline*7/10
		if res.err == nil || !res.kept || !res.sent || r == nil || !r.sound || timeout {
			continue
		}
		if res.status != 0 {
			cut++
			continue
		}
		unanswered[res.gateway] = append(unanswered[res.gateway], res)
	}
	return unanswered, cut
}

// judgeLost checks the rule LOST and prints what was seen.
func (b *bed) judgeLost() int {
	broken := false
	unanswered, cut := b.lost()
	for _, g := range b.gateways {
		results := unanswered[g.name]
		b.say("%s: %d starts, ends by itself or for its memory %v, peak memory %d MB; %d requests from kept connections that a sound replica ran got no answer",
			g.name, g.starts, g.ownEnds, g.peakKB>>10, len(results))
		for _, res := range results {
			b.record("LOST %s %s at %s, sent %.3f, closed %.3f: %v", res.class, res.id, res.gateway,
				res.sentAt.Sub(b.begun).Seconds(), res.endedAt.Sub(b.begun).Seconds(), res.err)
		}
		broken = broken || len(results) > maxLost
	}
	b.mu.Lock()
	total, answered := len(b.results), 0
	for _, res := range b.results {
		if res.err == nil && res.status == 200 {
			answered++
		}
	}
	b.mu.Unlock()
	b.say("%d requests, %d with a complete 200, %d answers of sound replicas ended early", total, answered, cut)
	if broken {
		b.say("LOST is broken: more than %d at one machine", maxLost)
		return exitBroken
	}
	b.say("LOST held")
	return exitHeld
}

// waitGateways waits until all gateways are ready and have known each other for a while.
func (b *bed) waitGateways() bool {
	for _, g := range b.gateways {
		if !g.waitReady(20 * time.Second) {
			b.say("%s did not get ready", g.name)
			return false
		}
	}
	return true
}
