package acaciaupstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/acaciaroute/acaciaroute/acaciaresponse"
)

type (
	// Pool keeps idle connections to endpoints for reuse.
	Pool struct {
		dialer *net.Dialer

		mu   sync.Mutex
		idle map[string][]*connection
		// active holds the connections that carry a request or are being opened for one.
		active map[*connection]struct{}
		// sweep closes the idle connections whose time has passed; nil while there are none.
		sweep  *time.Timer
		closed bool
	}

	// connection is a connection to an endpoint; it carries one request at a time.
	connection struct {
		*acaciaresponse.Conn
		address  string
		openedAt time.Time
		// reader reads from limit, which ends the input while headers are read, before an
		// endpoint that sends one without end has used up the memory.
		reader *bufio.Reader
		limit  *io.LimitedReader
		// usableUntil is the time after which an idle connection is not reused, because
		// the endpoint may close it.
		usableUntil time.Time
		reused      bool
		// retired reports whether the connection is closed when its request ends.
		retired bool
	}
)

const (
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = 700 * time.Millisecond
	// unacknowledgedTimeout is how long sent data may stay unacknowledged before the
	// connection is closed.
	unacknowledgedTimeout = 1500 * time.Millisecond
	// probeInterval is the time before the first keep-alive probe of an idle connection and
	// between two probes, and probeCount the number of unanswered probes after which it is
	// closed.
	probeInterval = time.Second
	probeCount    = 2
	// maxIdlePerEndpoint is the most idle connections to one endpoint.
	maxIdlePerEndpoint = 8
	// defaultIdleTimeout is how long an idle connection is kept if its endpoint sends no
	// Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the endpoint's idle timeout a connection is no longer
	// reused.
	idleMargin = 500 * time.Millisecond
	// sweepInterval is the time between two searches for idle connections that are no longer usable.
	sweepInterval   = time.Second
	readBufferBytes = 4096
	// dyingTime is how long the operating system may keep a connection that it has accepted for a
	// process that is dying.
	dyingTime = 50 * time.Millisecond
	// maxDials is how many connections to a process that may be dying are tried, redialPause the time
	// between two of them.
	maxDials    = 6
	redialPause = 20 * time.Millisecond
	// checkDialTimeout bounds each dial of a check whether an address refuses connections.
	checkDialTimeout = 300 * time.Millisecond
)

var errNotIdle = errors.New("the connection is closed or holds unexpected data")

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{idle: map[string][]*connection{}, active: map[*connection]struct{}{}, dialer: NewDialer()}
}

// NewDialer returns a dialer whose connections are closed soon after their peer stops
// responding.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, rawConn syscall.RawConn) error {
			return rawConn.Control(func(fd uintptr) {
				// An error is ignored: without the option, a failed peer is still detected, but later.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
			})
		},
	}
}

// Close closes the idle connections; those in use are closed when their requests end.
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
	if p.sweep != nil {
		p.sweep.Stop()
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(address)
}

// Retire closes the connections to an address at which no endpoint is listed any more: idle ones at once, others when
// their requests end. Connections that are opened later are not affected.
func (p *Pool) Retire(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(address)
	for c := range p.active {
		c.retired = c.retired || c.address == address
	}
}

// closeIdle closes the idle connections to an address. The pool must be locked.
func (p *Pool) closeIdle(address string) {
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// get returns an idle connection to an address, or a new one if no idle one is usable.
func (p *Pool) get(ctx context.Context, address string) (*connection, error) {
	for {
		c := p.popIdle(address)
		if c == nil {
			break
		}
		// The check peeks at the operating system's connection, below that which checks responses.
		if time.Now().Before(c.usableUntil) && checkIdle(c.Conn.Conn) == nil {
			c.reused = true
			return c, nil
		}
		p.discard(c)
	}
	return p.dial(ctx, address)
}

// dial opens an active connection to an address. One that is retired while it is opened is closed when its request ends.
func (p *Pool) dial(ctx context.Context, address string) (*connection, error) {
	opening := &connection{address: address}
	p.mu.Lock()
	p.active[opening] = struct{}{}
	p.mu.Unlock()
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.active, opening)
	if err != nil {
		return nil, err
	}
	c := newConnection(conn, address)
	c.retired = opening.retired
	p.active[c] = struct{}{}
	return c, nil
}

func newConnection(conn net.Conn, address string) *connection {
	checked := acaciaresponse.NewConn(conn)
	limit := &io.LimitedReader{R: checked, N: math.MaxInt64}
	return &connection{Conn: checked, address: address, openedAt: time.Now(), reader: bufio.NewReaderSize(limit, readBufferBytes), limit: limit}
}

// expectResponse makes the connection check what comes next as the head of a response.
func (c *connection) expectResponse() error {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	return c.ExpectResponse(buffered)
}

// popIdle makes the idle connection to an address that was used last an active one and returns it, nil if
// there is none.
func (p *Pool) popIdle(address string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	connections := p.idle[address]
	if len(connections) == 0 {
		return nil
	}
	last := len(connections) - 1
	c := connections[last]
	p.idle[address] = connections[:last]
	if last == 0 {
		delete(p.idle, address)
	}
	p.active[c] = struct{}{}
	return c
}

// put adds an idle connection to the pool, or closes it if the pool is closed or full or the
// connection holds unread data. A zero idleTimeout means the default.
func (p *Pool) put(c *connection, idleTimeout time.Duration) {
	if idleTimeout == 0 {
		idleTimeout = defaultIdleTimeout
	}
	c.usableUntil = time.Now().Add(idleTimeout - min(idleMargin, idleTimeout/2))
	p.add(c)
}

// putUnused adds a connection that has not been used since it was opened or taken from the pool. Its
// endpoint may close it as early as before.
func (p *Pool) putUnused(c *connection) {
	if c.usableUntil.IsZero() {
		p.put(c, 0)
		return
	}
	p.add(c)
}

// add adds an idle connection to the pool, or closes it.
func (p *Pool) add(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.active, c)
	if p.closed || c.retired || len(p.idle[c.address]) >= maxIdlePerEndpoint || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	if p.sweep == nil {
		p.sweep = time.AfterFunc(sweepInterval, p.closeExpired)
	}
}

// discard closes an active connection.
func (p *Pool) discard(c *connection) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.active, c)
}

// closeExpired closes the idle connections that are no longer usable. An address that gets no further request would
// otherwise keep them, and their descriptors, for good.
func (p *Pool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	now := time.Now()
	for address, connections := range p.idle {
		usable := slices.DeleteFunc(connections, func(c *connection) bool {
			expired := !now.Before(c.usableUntil)
			if expired {
				_ = c.Close()
			}
			return expired
		})
		if len(usable) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = usable
	}
	if len(p.idle) == 0 {
		p.sweep = nil
		return
	}
	p.sweep.Reset(sweepInterval)
}

// checkIdle returns an error if a connection has been closed or holds unread data.
func checkIdle(c net.Conn) error {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	rawConn, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var peekErr error
	readErr := rawConn.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, peekErr = unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
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

// Refuses reports whether an address refuses connections, which proves that no process listens
// there; silence proves nothing. While a process is dying, the operating system accepts connections for it
// and ends them, as an overloaded one does itself: then another one is tried, some times. A connection that
// lasts is added to the pool. The bound applies to each dial: one of the whole check would include the time
// in which this process itself gets no processor, and miss the refusal.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
	for range maxDials {
		dialCtx, cancel := context.WithTimeout(ctx, checkDialTimeout)
		conn, err := p.dialer.DialContext(dialCtx, "tcp", address)
		cancel()
		switch {
		case errors.Is(err, syscall.ECONNRESET):
			// Accepted, and ended before the dialer looked at it.
		case err != nil:
			return IsRefused(err)
		case lasts(conn):
			p.put(newConnection(conn, address), 0)
			return false
		default:
			_ = conn.Close()
		}
		select {
		case <-time.After(redialPause):
		case <-ctx.Done():
		}
	}
	return false
}

// lasts reports whether a new connection is open for some time without receiving anything.
func lasts(conn net.Conn) bool {
	if err := conn.SetReadDeadline(time.Now().Add(dyingTime)); err != nil {
		return false
	}
	var buffer [1]byte
	if _, err := conn.Read(buffer[:]); !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	// A read that begins after its deadline doesn't look at the connection.
	return checkIdle(conn) == nil
}

// IsRefused reports whether an error says that nothing listens at an address.
func IsRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
