package acaciaengine

import (
	"context"
	"net"
	"sync"
)

type (
	// writeGuard records whether a write to the connection of one call has begun, and
	// can block all writes. One mutex guards both, so that a call which failed before
	// its first write certainly never reaches the endpoint.
	writeGuard struct {
		mu      sync.Mutex
		blocked bool
		wrote   bool
	}

	// guardedConn is the connection of one call. It asks the call's writeGuard before
	// every write.
	guardedConn struct {
		net.Conn
		guard *writeGuard

		mu     sync.Mutex
		closed bool
	}

	writeGuardKey struct{}

	dialFunc func(ctx context.Context, network, address string) (net.Conn, error)
)

// withWriteGuard returns a context that carries a new guard for one call, and the guard.
func withWriteGuard(ctx context.Context) (context.Context, *writeGuard) {
	guard := &writeGuard{}
	return context.WithValue(ctx, writeGuardKey{}, guard), guard
}

// guardDial returns a dial function that wraps connections with the guard in its context,
// if there is one.
func guardDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		guard, ok := ctx.Value(writeGuardKey{}).(*writeGuard)
		if err != nil || !ok {
			return conn, err
		}
		return &guardedConn{Conn: conn, guard: guard}, nil
	}
}

// blockWrites blocks all further writes and reports whether one had begun.
func (g *writeGuard) blockWrites() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.blocked = true
	return g.wrote
}

// beginWrite reports whether a write may begin, and if so records that one has.
func (g *writeGuard) beginWrite() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.blocked {
		return false
	}
	g.wrote = true
	return true
}

// Write implements net.Conn.
func (c *guardedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	blocked := c.closed || !c.guard.beginWrite()
	c.mu.Unlock()
	if blocked {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(data)
}

// Close implements net.Conn. A write after it fails and is not recorded in the guard.
func (c *guardedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return c.Conn.Close()
}
