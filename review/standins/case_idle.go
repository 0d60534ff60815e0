package main

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// usersPerSecond is what all clients of dala-shred send a second.
	usersPerSecond = 81
	// lossAfter is when the other front machines are lost, idleTime how long the day goes on.
	lossAfter = 15 * time.Second
	idleTime  = 74 * time.Second
	// stableWindow is stableWindowMs, minTries the number of clients that must try in it.
	stableWindow = 4 * time.Second
	minTries     = 7
	// neededFDs is the number of descriptors that the clients and replicas of the case need together.
	neededFDs = 10000
)

// attempt is one try of a client to get a new connection to a gateway.
type attempt struct {
	gateway *gateway
	at      time.Time
	// taken reports whether the gateway has read from the connection, as its answer shows.
	taken bool
}

// probe is one question of the platform whether a gateway is ready.
type probe struct {
	gateway *gateway
	at      time.Time
	ok      bool
}

// idleDay is the state of the case.
type idleDay struct {
	bed      *bed
	live     atomic.Pointer[[]*gateway]
	mu       sync.Mutex
	attempts []attempt
	probes   []probe
	conns    []net.Conn
}

// playIdle lets users come who send one request each, over a connection of their own, and leave it open;
// then all front machines but one are lost.
func playIdle(b *bed) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < neededFDs {
		b.say("the stand-ins need %d descriptors, and have %d", neededFDs, limit.Cur)
		return exitNotRun
	}
	b.putConfiguration()
	for range 3 {
		b.addReplica(plain)
	}
	for range 4 {
		b.addGateway()
	}
	if !b.waitGateways() {
		return exitNotRun
	}
	d := &idleDay{bed: b}
	live := b.gateways
	d.live.Store(&live)
	ctx, stop := context.WithTimeout(context.Background(), idleTime)
	defer stop()
	var wg sync.WaitGroup
	for _, g := range b.gateways {
		wg.Add(1)
		go d.askReady(ctx, &wg, g)
	}
	begun := time.Now()
	lost := false
	for number := 0; ctx.Err() == nil; number++ {
		if b.trouble.Load() && !lost && time.Since(begun) > lossAfter {
			lost = true
			survivors := b.gateways[:1]
			d.live.Store(&survivors)
			b.say("%s: three of the four front machines are lost", time.Since(b.begun))
			for _, g := range b.gateways[1:] {
				go g.kill()
			}
		}
		gateways := *d.live.Load()
		wg.Add(1)
		go d.user(&wg, gateways[number%len(gateways)])
		time.Sleep(time.Until(begun.Add(time.Duration(number+1) * time.Second / usersPerSecond)))
	}
	wg.Wait()
	for _, conn := range d.conns {
		_ = conn.Close()
	}
	return d.judge()
}

// user sends one request over a new connection, which stays open afterwards.
func (d *idleDay) user(wg *sync.WaitGroup, g *gateway) {
	defer wg.Done()
	at := time.Now()
	conn, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		d.bed.record("no connection to %s: %v", g.name, err)
		d.add(attempt{g, at, false}, nil)
		return
	}
	k := readKind
	k.deadline = 3 * time.Second
	res := d.bed.send(&connection{conn: conn, reader: bufio.NewReader(conn)}, g, k)
	taken := res.status != 0 || res.err != nil && !errors.Is(res.err, context.DeadlineExceeded) && !isTimeout(res.err)
	if res.err != nil {
		_ = conn.Close()
		conn = nil
	}
	d.add(attempt{g, at, taken}, conn)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func (d *idleDay) add(a attempt, conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.attempts = append(d.attempts, a)
	if conn != nil {
		d.conns = append(d.conns, conn)
	}
}

// askReady asks a gateway once a second whether it is ready, over one connection as long as that lasts.
func (d *idleDay) askReady(ctx context.Context, wg *sync.WaitGroup, g *gateway) {
	defer wg.Done()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	for ctx.Err() == nil {
		at := time.Now()
		response, err := client.Get("http://" + g.ready + "/acaciaroute/ready")
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		d.mu.Lock()
		d.probes = append(d.probes, probe{g, at, ok})
		d.mu.Unlock()
		g.mu.Lock()
		fds := g.peakFDs
		g.mu.Unlock()
		d.bed.record("%s ready: %t, %d descriptors at most so far", g.name, ok, fds)
		sleep(ctx, time.Until(at.Add(time.Second)))
	}
}

// judge looks for a stableWindow in which a gateway said that it was ready, at least minTries clients tried
// to get a new connection, and none was taken.
func (d *idleDay) judge() int {
	b := d.bed
	code := exitHeld
	for _, g := range b.gateways {
		tries, taken, brokenAt := 0, 0, time.Time{}
		for _, a := range d.attempts {
			if a.gateway != g {
				continue
			}
			tries++
			if a.taken {
				taken++
			}
			if brokenAt.IsZero() && d.closedFrom(g, a.at) {
				brokenAt = a.at
			}
		}
		b.say("%s: %d new connections tried, %d taken, at most %d descriptors open, peak memory %d MB, ends by itself %v", g.name, tries, taken, g.peakFDs, g.peakKB>>10, g.ownEnds)
		if !brokenAt.IsZero() {
			code = exitBroken
			b.say("RECOVER is broken: from %.3f on, %s said that it was ready and took no new connection for %s", brokenAt.Sub(b.begun).Seconds(), g.name, stableWindow)
		}
	}
	if code == exitHeld {
		b.say("RECOVER held")
	}
	return code
}

// closedFrom reports whether the rule is broken in the stableWindow that begins at a time.
func (d *idleDay) closedFrom(g *gateway, from time.Time) bool {
	to := from.Add(stableWindow)
	within := func(at time.Time) bool { return !at.Before(from) && at.Before(to) }
	tries, ready := 0, 0
	for _, a := range d.attempts {
		if a.gateway == g && within(a.at) {
			if a.taken {
				return false
			}
			tries++
		}
	}
	for _, p := range d.probes {
		if p.gateway == g && within(p.at) {
			if !p.ok {
				return false
			}
			ready++
		}
	}
	return tries >= minTries && ready >= 3
}
