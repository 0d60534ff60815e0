package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	cutReplicas = 4
	// firstKill is when the first replica crashes, killInterval the time between two crashes, cutDownTime how
	// long a replica is away.
	firstKill    = 5 * time.Second
	killInterval = 2500 * time.Millisecond
	cutDownTime  = 2 * time.Second
	cutTime      = 75 * time.Second
)

// playCut kills one replica after another while it writes streams that have neither a length nor chunks.
func playCut(b *bed) int {
	b.putConfiguration()
	replicas := make([]*replicaProcess, cutReplicas)
	for i := range replicas {
		replicas[i] = b.startReplica()
	}
	b.cleanUp = func() {
		for _, p := range replicas {
			p.kill()
		}
	}
	b.addGateway()
	b.addGateway()
	if !b.waitGateways() {
		return exitNotRun
	}
	ctx, stop := context.WithTimeout(context.Background(), cutTime)
	defer stop()
	var wg sync.WaitGroup
	for _, g := range b.gateways {
		for range 10 {
			wg.Add(1)
			go b.client(ctx, &wg, g, certKind, 50*time.Millisecond)
		}
	}
	sleep(ctx, firstKill)
	kills := 0
	for ctx.Err() == nil {
		if b.trouble.Load() {
			i := rand.N(cutReplicas)
			replicas[i].kill()
			kills++
			sleep(ctx, cutDownTime)
			replicas[i] = b.startReplica()
			sleep(ctx, killInterval-cutDownTime)
			continue
		}
		sleep(ctx, killInterval)
	}
	wg.Wait()
	return b.judgeCut(kills)
}

// judgeCut counts the successes that look complete and aren't the replica's whole answer.
func (b *bed) judgeCut(kills int) int {
	b.mu.Lock()
	whole, cut, failed := 0, 0, 0
	var short []result
	for _, res := range b.results {
		switch {
		case res.status != http.StatusOK:
			failed++
		case res.err != nil:
			cut++
		case res.body == wholeStream(res.id):
			whole++
		default:
			short = append(short, res)
		}
	}
	b.mu.Unlock()
	for _, res := range short {
		b.record("MIXED %s at %s: 200, signature %s, complete for its client, with %d of %d events", res.id, res.gateway, res.seal,
			strings.Count(res.body, "data:"), processEvents)
	}
	b.say("%d replicas were killed; %d whole streams, %d cut ones that the client sees as cut, %d other answers, %d streams that ended early and look complete",
		kills, whole, cut, failed, len(short))
	switch {
	case len(short) > 0:
		b.say("MIXED is broken")
		return exitBroken
	case whole == 0:
		return exitNotRun
	}
	b.say("MIXED held")
	return exitHeld
}
