package acaciaconnection

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

type (
	// Conn is a connection that a Guard watches.
	Conn struct {
		*net.TCPConn
		guard *Guard
		// socket is the connection for the guard, record what it knows of it.
		socket socket
		record record
		// preface is what has come of the first bytes.
		preface []byte
		// active reports whether a request is in progress, in which reads need not be counted.
		active atomic.Bool
	}

	// socket is a connection as the guard needs it.
	socket interface {
		io.Closer
		// hasUnread reports whether the system holds bytes that have not been read.
		hasUnread() bool
	}

	// tcpSocket is the socket of a TCP connection.
	tcpSocket struct {
		*net.TCPConn
	}
)

const (
	// readAheadBytes is how much of what follows a head may be read together with it.
	readAheadBytes = 4 << 10
	// multiplexedPreface is how a connection of HTTP/2 begins.
	multiplexedPreface = "PRI"
	headTooLargeAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	refusalTime        = 100 * time.Millisecond
)

var errHeadTooLarge = errors.New("the head of a request is larger than the limit")

// Read implements net.Conn. It counts the bytes of a head, and ends a head that is too large.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.TCPConn.Read(data)
	if n > 0 && !c.active.Load() && !c.count(data[:n]) {
		_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
		_, _ = io.WriteString(c.TCPConn, headTooLargeAnswer)
		// The server closes the connection without an answer of its own after such an error.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHeadTooLarge}
	}
	return n, err
}

// count counts bytes that have come, and reports whether the head is within its limit.
func (c *Conn) count(data []byte) bool {
	limit := c.guard.settings.Limits().MaxHeaderBytes
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.record.state == stateActive || c.record.multiplexed {
		return true
	}
	c.guard.update(c, func(r *record) {
		if missing := len(multiplexedPreface) - len(c.preface); missing > 0 && c.guard.settings.Multiplexed {
			c.preface = append(c.preface, data[:min(missing, len(data))]...)
			r.multiplexed = string(c.preface) == multiplexedPreface
		}
		if r.state == stateIdle {
			r.state, r.since = stateHead, time.Now()
		}
		r.headBytes += len(data)
	})
	if limit > 0 && !c.record.multiplexed && c.record.headBytes > limit+readAheadBytes {
		c.guard.closed[ReasonHeadTooLarge]++
		return false
	}
	return true
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.guard.mu.Lock()
	c.guard.remove(c)
	c.guard.mu.Unlock()
	err := c.TCPConn.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (s tcpSocket) hasUnread() bool {
	rawConn, err := s.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = rawConn.Control(func(fd uintptr) { unread = peeks(fd) })
	return err == nil && unread
}

// peeks reports whether a byte can be read from a socket. The end of the input is none.
func peeks(fd uintptr) bool {
	var buffer [1]byte
	for {
		n, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		return err == nil && n > 0
	}
}
