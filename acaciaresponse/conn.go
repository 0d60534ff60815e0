package acaciaresponse

import (
	"net"
	"sync"
)

// Conn is a connection of an HTTP/1.1 client that checks the responses which are read from it.
type Conn struct {
	net.Conn

	mu   sync.Mutex
	head headChecker
}

// NewConn returns a Conn over a connection.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn}
}

// ExpectResponse makes the connection check the next bytes as the head of a response, after the buffered ones, which have
// been read already but not parsed. It returns a *HeadError if those are malformed.
func (c *Conn) ExpectResponse(buffered []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.begin()
	return c.head.check(buffered)
}

// Read implements net.Conn. A malformed head gives a *HeadError in place of the bytes read.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	if headErr := c.head.check(data[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}
