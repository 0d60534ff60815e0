package acaciaupstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

type (
	// Pool keeps connections to endpoints.
	Pool struct {
		dialer *net.Dialer

		mu     sync.Mutex
		idle   map[string][]*connection
		closed bool
	}

	// connection is one connection to an endpoint; it carries one request at a time.
	connection struct {
		net.Conn
		address string
		reader  *bufio.Reader
		// usableUntil is when the endpoint may close it.
		usableUntil time.Time
		reused      bool
	}
)

const (
	// dialTime bounds the making of a connection.
	dialTime = 700 * time.Millisecond
	// unackedTime is how long sent bytes may stay without an acknowledgement.
	unackedTime = 1500 * time.Millisecond
	// probeTime is the time between two probes of a silent connection, and probeCount
	// how many may go without an answer.
	probeTime  = time.Second
	probeCount = 2
	// maxIdle bounds the kept connections to an endpoint.
	maxIdle = 8
	// defaultIdleTime is how long a connection is kept whose endpoint does not say.
	defaultIdleTime = 4 * time.Second
	// idleMargin is how long before its end a kept connection is not used any more.
	idleMargin  = 500 * time.Millisecond
	readerBytes = 4096
)

var errNotIdle = errors.New("the connection is closed or holds bytes that nobody asked for")

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{idle: map[string][]*connection{}, dialer: NewDialer()}
}

// NewDialer returns a dialer whose connections end soon after their peer has gone silent.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTime,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeTime, Interval: probeTime, Count: probeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Without the option a dead peer is only found later.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTime.Milliseconds()))
			})
		},
	}
}

// Close closes the kept connections; those in use end with their requests.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, connections := range p.idle {
		for _, c := range connections {
			_ = c.Close()
		}
	}
	clear(p.idle)
}

// Forget closes the kept connections to an address.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// get returns a kept connection to an address, or a new one.
func (p *Pool) get(ctx context.Context, address string) (*connection, error) {
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.usableUntil) && c.quiet() == nil {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, address: address, reader: bufio.NewReaderSize(conn, readerBytes)}, nil
}

func (p *Pool) pop(address string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	connections := p.idle[address]
	if len(connections) == 0 {
		return nil
	}
	last := len(connections) - 1
	c := connections[last]
	p.idle[address] = connections[:last]
	return c
}

// put keeps a connection for later requests.
func (p *Pool) put(c *connection, idleTime time.Duration) {
	if idleTime == 0 {
		idleTime = defaultIdleTime
	}
	c.usableUntil = time.Now().Add(idleTime - min(idleMargin, idleTime/2))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.address]) >= maxIdle || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// quiet reports an error if the connection has been closed or holds bytes.
func (c *connection) quiet() error {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var peekErr error
	readErr := raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	if readErr != nil {
		return readErr
	}
	if errors.Is(peekErr, unix.EAGAIN) {
		return nil
	}
	return errNotIdle
}

// Alive tells whether an address takes connections; it keeps the one that it makes.
func (p *Pool) Alive(ctx context.Context, address string) bool {
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	p.put(&connection{Conn: conn, address: address, reader: bufio.NewReaderSize(conn, readerBytes)}, 0)
	return true
}
