package acaciaengine

import (
	"context"
	"net"
	"sync"
)

type (
	// writeGuard knows whether any byte of one call has left the process.
	writeGuard struct {
		mu     sync.Mutex
		sealed bool
		wrote  bool
	}

	// guardedConn is a call's connection: its guard sees every write.
	guardedConn struct {
		net.Conn
		guard *writeGuard

		mu     sync.Mutex
		closed bool
	}

	guardKey struct{}

	dialFunc func(ctx context.Context, network, address string) (net.Conn, error)
)

// withGuard returns a context in which a connection is dialled for one call.
func withGuard(ctx context.Context) (context.Context, *writeGuard) {
	guard := &writeGuard{}
	return context.WithValue(ctx, guardKey{}, guard), guard
}

// guarded puts the guard of a call before the connections dialled for it.
func guarded(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		guard, ok := ctx.Value(guardKey{}).(*writeGuard)
		if err != nil || !ok {
			return conn, err
		}
		return &guardedConn{Conn: conn, guard: guard}, nil
	}
}

// seal prevents all further writes and reports whether there was one.
func (g *writeGuard) seal() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sealed = true
	return g.wrote
}

// allow reports whether a write may begin, and notes it.
func (g *writeGuard) allow() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sealed {
		return false
	}
	g.wrote = true
	return true
}

// Write implements net.Conn.
func (c *guardedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	refused := c.closed || !c.guard.allow()
	c.mu.Unlock()
	if refused {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(data)
}

// Close implements net.Conn; a later write is not counted as one.
func (c *guardedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return c.Conn.Close()
}
