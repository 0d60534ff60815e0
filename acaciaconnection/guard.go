package acaciaconnection

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

type (
	// Guard keeps the connections of a server within their limits.
	//
	// Load pattern: more connections are opened than the process has descriptors; most send nothing, or heads without
	// an end, or stay idle after a request.
	Guard struct {
		settings Settings

		mu     sync.Mutex
		conns  map[*Conn]bool
		bytes  int64
		closed map[Reason]int64
		// fullSince is since when a new connection waits for room, zero if none does.
		fullSince time.Time
	}

	// Settings are the bounds of a Guard.
	Settings struct {
		// MaxConnections bounds the number of connections, MaxBytes the memory for them; zero for no bound.
		MaxConnections int
		MaxBytes       int64
		// Multiplexed reports whether the server also speaks HTTP/2, which bounds heads and idle times itself.
		Multiplexed bool
		// MultiplexedBytes is what a connection of HTTP/2 costs in addition to any other one.
		MultiplexedBytes int64
		// Limits returns the limits that are in force.
		Limits func() Limits
		// MakeRoom, if set, ends one request that holds up its connection; it is called while a new connection
		// waits and none can be closed.
		MakeRoom func()
	}

	// Counts is the state of a Guard.
	Counts struct {
		Connections, MaxConnections int
		Bytes, MaxBytes             int64
		// Closed counts the connections that the guard has closed.
		Closed map[Reason]int64
	}
)

const (
	// sweepInterval is the time between two looks at which connections have exceeded their time.
	sweepInterval = 100 * time.Millisecond
	// roomInterval is the time between two attempts to make room for a new connection.
	roomInterval = 5 * time.Millisecond
	// unreadyTime is how long a new connection must have waited for the guard to say that it is full.
	unreadyTime = time.Second
)

// NewGuard returns a guard without connections.
func NewGuard(settings Settings) *Guard {
	return &Guard{settings: settings, conns: map[*Conn]bool{}, closed: map[Reason]int64{}}
}

// SetBounds changes how many connections there may be, and the memory for them; zero for no bound. Connections
// beyond a bound are closed when the next one comes, and only if they have no request.
func (g *Guard) SetBounds(maxConnections int, maxBytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settings.MaxConnections, g.settings.MaxBytes = maxConnections, maxBytes
}

// Run closes connections that exceed their time, until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.sweep(now)
		}
	}
}

// Add takes a connection that has been accepted, and waits until there is room for it or waiting returns false. The
// server must use the returned connection and report its states to SetState.
func (g *Guard) Add(conn *net.TCPConn, waiting func() bool) *Conn {
	c := g.add(tcpSocket{conn}, time.Now())
	c.TCPConn = conn
	for !g.makeRoom(c, time.Now()) && waiting() {
		if g.settings.MakeRoom != nil {
			g.settings.MakeRoom()
		}
		time.Sleep(roomInterval)
	}
	return c
}

func (g *Guard) add(conn socket, now time.Time) *Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := &Conn{socket: conn, guard: g, record: record{since: now, multiplexedBytes: g.settings.MultiplexedBytes}}
	g.conns[c] = true
	g.bytes += c.record.bytes()
	return c
}

// makeRoom closes connections until there is room for a new one, and reports whether there is.
func (g *Guard) makeRoom(newest *Conn, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.tooMany() {
		victim := g.firstForRoom(newest, now)
		if victim == nil {
			if g.fullSince.IsZero() {
				g.fullSince = now
			}
			return false
		}
		g.close(victim, ReasonRoom)
	}
	g.fullSince = time.Time{}
	return true
}

// tooMany reports whether the connections exceed a bound. It must be called with the lock held.
func (g *Guard) tooMany() bool {
	s := &g.settings
	return s.MaxConnections > 0 && len(g.conns) > s.MaxConnections || s.MaxBytes > 0 && g.bytes > s.MaxBytes
}

// firstForRoom returns the connection that gives way to the newest one, nil if none does. It must be called with
// the lock held.
func (g *Guard) firstForRoom(newest *Conn, now time.Time) *Conn {
	var first *Conn
	for c := range g.conns {
		if c == newest || c.record.state == stateActive || first != nil && compareRoom(&c.record, &first.record, now) >= 0 {
			continue
		}
		// A request may have come that the server has not read yet.
		if c.record.state == stateIdle && c.socket.hasUnread() {
			continue
		}
		first = c
	}
	return first
}

// sweep closes the connections that exceed their time.
func (g *Guard) sweep(now time.Time) {
	limits := g.settings.Limits()
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		reason := c.record.expired(limits, now)
		// After the process was suspended, what came in time may not have been read yet.
		if reason == "" || c.socket.hasUnread() {
			continue
		}
		g.close(c, reason)
	}
}

// close closes a connection for a reason. It must be called with the lock held.
func (g *Guard) close(c *Conn, reason Reason) {
	g.closed[reason]++
	g.remove(c)
	_ = c.socket.Close()
}

// remove forgets a connection. It must be called with the lock held.
func (g *Guard) remove(c *Conn) {
	if g.conns[c] {
		delete(g.conns, c)
		g.bytes -= c.record.bytes()
	}
}

// update changes what is known of a connection. It must be called with the lock held.
func (g *Guard) update(c *Conn, change func(r *record)) {
	if !g.conns[c] {
		return
	}
	g.bytes -= c.record.bytes()
	change(&c.record)
	g.bytes += c.record.bytes()
}

// SetState records a state that the server reports, as in http.Server.ConnState.
func (g *Guard) SetState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	now := time.Now()
	c.active.Store(state == http.StateActive)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch state {
	case http.StateActive:
		g.update(c, func(r *record) { r.state, r.since, r.headBytes, r.served = stateActive, now, 0, true })
	case http.StateIdle:
		g.update(c, func(r *record) { r.state, r.since, r.headBytes = stateIdle, now, 0 })
	case http.StateClosed, http.StateHijacked:
		g.remove(c)
	}
}

// Full reports whether new connections have been waiting for room for some time.
func (g *Guard) Full() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.fullSince.IsZero() && time.Since(g.fullSince) > unreadyTime
}

// Counts returns the state.
func (g *Guard) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := Counts{
		Connections: len(g.conns), MaxConnections: g.settings.MaxConnections, Bytes: g.bytes, MaxBytes: g.settings.MaxBytes,
		Closed: map[Reason]int64{},
	}
	for reason, n := range g.closed {
		counts.Closed[reason] = n
	}
	return counts
}
