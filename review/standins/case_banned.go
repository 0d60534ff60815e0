package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// soundInterval is the mean time between two sound requests of a caller, deadlyInterval that between
	// two with the caller's deadly part, which begin to come at deadlyAfter, at each further caller
	// callerDelay later, and come for deadlyTime.
	soundInterval  = 900 * time.Millisecond
	deadlyInterval = 200 * time.Millisecond
	deadlyAfter    = 25 * time.Second
	callerDelay    = 4 * time.Second
	deadlyTime     = 32 * time.Second
	// downTime is how long a crashed replica is away.
	downTime = 3 * time.Second
	// minSound is the number of sound requests that the rule asks for, on either side.
	minSound = 20
)

// caller is a tenant. All prompts of it have its common part; ahead of it some have its deadly part, which
// crashes each replica that begins to write an answer on it.
type caller struct {
	day                 *bannedDay
	key, common, deadly string
	delay               time.Duration

	mu         sync.Mutex
	sound      []soundRequest
	crashes    []time.Time
	deadlySent []time.Time
}

// soundRequest is a sound request at its first attempt.
type soundRequest struct {
	at    time.Time
	begun bool
}

// bannedDay is the state of the case.
type bannedDay struct {
	bed     *bed
	callers []*caller
}

// playBanned sends requests with a part that crashes replicas, ahead of a part that all prompts of their
// caller share, among sound ones.
func playBanned(b *bed) int {
	b.putConfiguration()
	d := &bannedDay{bed: b}
	d.callers = []*caller{
		{day: d, key: apiKey, common: "91bd3f06", deadly: "dead0001"},
		{day: d, key: otherKey, common: "3c07e2b5", deadly: "dead0002", delay: callerDelay},
		{day: d, key: thirdKey, common: "77aa01c4", deadly: "dead0003", delay: 2 * callerDelay},
	}
	for range 10 {
		d.addReplica()
	}
	b.addGateway()
	b.addGateway()
	if !b.waitGateways() {
		return exitNotRun
	}
	var wg sync.WaitGroup
	for _, c := range d.callers {
		wg.Add(2)
		go every(&wg, 0, deadlyAfter+c.delay+deadlyTime, soundInterval, c.sendSound)
		go every(&wg, deadlyAfter+c.delay, deadlyTime, deadlyInterval, c.sendDeadly)
	}
	wg.Wait()
	code := exitHeld
	for _, c := range d.callers {
		if result := c.judge(); result != exitHeld && code != exitBroken {
			code = result
		}
	}
	return code
}

// every sends requests for some time, with pauses around a mean.
func every(wg *sync.WaitGroup, delay, duration, interval time.Duration, send func(number int)) {
	defer wg.Done()
	time.Sleep(delay + rand.N(interval))
	for end, number := time.Now().Add(duration), 0; time.Now().Before(end); number++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			send(number)
		}()
		time.Sleep(interval/2 + rand.N(interval))
	}
}

// addReplica adds a replica that crashes on deadly parts and is replaced later.
func (d *bannedDay) addReplica() {
	p := d.bed.addReplica(engine)
	p.prefill, p.events = 80*time.Millisecond, 8
	if !d.bed.trouble.Load() {
		return
	}
	p.fault = func(_ http.ResponseWriter, r *http.Request) bool {
		for _, c := range d.callers {
			if strings.Contains(r.Header.Get("Prompt-Prefix"), c.deadly) {
				d.crash(p, c, r.Header.Get(headerRequestID))
				return true
			}
		}
		return false
	}
	p.faulty.Store(true)
}

// crash crashes a replica as it begins to write an answer on a caller's deadly part.
func (d *bannedDay) crash(p *replica, c *caller, id string) {
	time.Sleep(p.prefill)
	if !p.crash() {
		return
	}
	c.mu.Lock()
	c.crashes = append(c.crashes, time.Now())
	c.mu.Unlock()
	d.bed.record("%s crashes on %s", p.id, id)
	time.AfterFunc(downTime, d.addReplica)
}

// prompt returns a kind of request whose prompt has three parts; its last one is its own.
func (c *caller) prompt(first string) kind {
	return kind{class: "missed-pickup", method: http.MethodPost, path: "/pickup/2f", deadline: 5 * time.Second, bodyBytes: 9200, key: c.key,
		headers: "Model: m\r\nToken-Count: 2890,50\r\n", prefix: fmt.Sprintf("%s:60,%s:410", first, c.common)}
}

// dial returns a connection to one of the gateways, nil if that takes none.
func (d *bannedDay) dial(number int) (*connection, *gateway) {
	g := d.bed.gateways[number%2]
	conn, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		return nil, g
	}
	return &connection{conn: conn, reader: bufio.NewReader(conn)}, g
}

func (c *caller) sendSound(number int) {
	at := time.Now()
	b := c.day.bed
	conn, g := c.day.dial(number)
	begun := false
	if conn != nil {
		res := b.send(conn, g, c.prompt(fmt.Sprintf("50000%03x", number%20)))
		_ = conn.conn.Close()
		b.mu.Lock()
		begun = b.runs[res.id] != nil
		b.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sound = append(c.sound, soundRequest{at, begun})
}

func (c *caller) sendDeadly(number int) {
	c.mu.Lock()
	c.deadlySent = append(c.deadlySent, time.Now())
	c.mu.Unlock()
	conn, g := c.day.dial(number / 2)
	if conn == nil {
		return
	}
	c.day.bed.send(conn, g, c.prompt(c.deadly))
	_ = conn.conn.Close()
}

// judge compares how many sound requests begin before the first request with a deadly part, and from
// twice stableWindow after the fifth crash, or the last, as long as such requests come.
func (c *caller) judge() int {
	b := c.day.bed
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.deadlySent) == 0 {
		return exitNotRun
	}
	trouble := c.day.callers[0].deadlySent[0]
	from := c.deadlySent[0].Add(2 * stableWindow)
	if n := len(c.crashes); n > 0 {
		from = c.crashes[min(n, 5)-1].Add(2 * stableWindow)
	}
	last := c.deadlySent[len(c.deadlySent)-1]
	var before, beforeBegun, after, afterBegun int
	for _, s := range c.sound {
		switch {
		case s.at.Before(trouble):
			before++
			if s.begun {
				beforeBegun++
			}
		case s.at.After(from) && s.at.Before(last):
			after++
			if s.begun {
				afterBegun++
			}
		}
	}
	b.say("key %s: %d requests with the deadly part %s came, %d replicas crashed", c.key, len(c.deadlySent), c.deadly, len(c.crashes))
	b.say("sound requests of this key and route that began at the first attempt: %d of %d before, %d of %d from %s after the fifth or last crash on",
		beforeBegun, before, afterBegun, after, 2*stableWindow)
	if before < minSound || after < minSound {
		b.say("too few sound requests to judge")
		return exitNotRun
	}
	if float64(afterBegun)/float64(after) < 0.5*float64(beforeBegun)/float64(before) {
		b.say("LOST is broken")
		return exitBroken
	}
	b.say("LOST held")
	return exitHeld
}
