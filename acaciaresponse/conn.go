package acaciaresponse

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Conn is a connection of an HTTP/1.1 client that checks the responses which are read from it, and whether its peer has
// ended it in order.
type Conn struct {
	net.Conn

	mu   sync.Mutex
	head headChecker
	// written is closed when the request that was begun last has been written.
	written chan struct{}

	// writing is held during each write; writeErr is the first error of one.
	writing  sync.Mutex
	writeErr error

	closeOnce sync.Once
	closed    chan struct{}
}

// unreadTimeout is the time in which a peer that has ended its side of the connection must take the rest of the request.
const unreadTimeout = 5 * time.Second

// NewConn returns a Conn over a connection.
func NewConn(conn net.Conn) *Conn {
	written := make(chan struct{})
	close(written)
	return &Conn{Conn: conn, written: written, closed: make(chan struct{})}
}

// BeginRequest says that a request is going to be written, whole when the returned function is called.
func (c *Conn) BeginRequest() (end func()) {
	written := make(chan struct{})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = written
	return sync.OnceFunc(func() { close(written) })
}

// ExpectResponse makes the connection check the next bytes as the head of a response, after the buffered ones, which have
// been read already but not parsed. It returns a *HeadError if those are malformed.
func (c *Conn) ExpectResponse(buffered []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.begin()
	return c.head.check(buffered)
}

// Read implements net.Conn. A malformed head gives a *HeadError in place of the bytes read. io.EOF means that the peer has
// taken the whole request and ended the connection in order; otherwise its end gives the error of the write.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if errors.Is(err, io.EOF) {
		err = c.checkEnd()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if headErr := c.head.check(data[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (n int, err error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err = c.Conn.Write(data)
	c.recordWrite(err)
	return n, err
}

// WriteBuffers writes all buffers, with one system call where the connection can do that.
func (c *Conn) WriteBuffers(buffers net.Buffers) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, err := buffers.WriteTo(c.Conn)
	c.recordWrite(err)
	return err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// recordWrite records how a write has ended.
func (c *Conn) recordWrite(err error) {
	if c.writeErr == nil {
		c.writeErr = err
	}
}

// checkEnd returns io.EOF if the end of the input shows that the peer has ended the connection in order. The operating system
// reports a reset once: if a write got it, a read after that finds the end of the input. So the request must be
// written first.
func (c *Conn) checkEnd() error {
	c.mu.Lock()
	written, inHead := c.written, c.head.part != partNone
	c.mu.Unlock()
	if inHead {
		// A response that ends within its head is an error without that.
		return io.EOF
	}
	// An error means that the connection is closed.
	_ = c.SetWriteDeadline(time.Now().Add(unreadTimeout))
	select {
	case <-written:
	case <-c.closed:
		return net.ErrClosed
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return c.writeErr
	}
	return io.EOF
}
