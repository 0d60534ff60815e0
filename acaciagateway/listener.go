package acaciagateway

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/acaciaroute/acaciaroute/acaciaconnection"
)

// drainingListener is a listener that, after Close, still accepts the connections that wait to be
// accepted.
type drainingListener struct {
	*net.TCPListener
	// guard keeps the connections within their limits.
	guard *acaciaconnection.Guard
	// closeBy is when it stops accepting though connections keep coming, in Unix nanoseconds; zero
	// before Close.
	closeBy atomic.Int64
	// acceptedLate counts the connections accepted after a deadline. It belongs to the goroutine that
	// accepts.
	acceptedLate int
}

const (
	// acceptQuietTime is how long no connection may have come before a listener is closed.
	acceptQuietTime = time.Millisecond
	// maxAcceptTime is how long connections are still accepted at most.
	maxAcceptTime = 500 * time.Millisecond
	// maxAcceptedLate is how many connections are accepted after a deadline, as many as the operating system
	// lets wait by default.
	maxAcceptedLate = 4096
)

// Accept implements net.Listener.
func (l *drainingListener) Accept() (net.Conn, error) {
	conn, err := l.accept()
	closeBy := l.closeBy.Load()
	switch {
	case closeBy == 0:
		return conn, err
	case err != nil:
		// The deadline ends Accept also while connections wait, if this goroutine was held up.
		if conn := l.acceptWaiting(); conn != nil {
			return conn, nil
		}
		return nil, errors.Join(net.ErrClosed, l.TCPListener.Close())
	case time.Now().UnixNano() < closeBy:
		return conn, l.SetDeadline(time.Now().Add(acceptQuietTime))
	}
	// The deadline has passed, so that the next calls only take what waits.
	return conn, l.SetDeadline(time.Unix(0, closeBy))
}

// accept accepts a connection and waits until there is room for it, or the listener is closed.
func (l *drainingListener) accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return l.admit(conn), nil
}

// admit puts a connection under the guard.
func (l *drainingListener) admit(conn *net.TCPConn) net.Conn {
	return l.guard.Add(conn, func() bool { return l.closeBy.Load() == 0 })
}

// Close implements net.Listener; Accept closes the listener when no connection waits any more. The operating
// system resets one that completes between the last look and the close, which takes microseconds.
func (l *drainingListener) Close() error {
	now := time.Now()
	l.closeBy.Store(now.Add(maxAcceptTime).UnixNano())
	return l.SetDeadline(now.Add(acceptQuietTime))
}

// acceptWaiting accepts a connection that waits; nil if none does.
func (l *drainingListener) acceptWaiting() net.Conn {
	if l.acceptedLate == maxAcceptedLate {
		return nil
	}
	l.acceptedLate++
	rawConn, err := l.SyscallConn()
	if err != nil {
		return nil
	}
	accepted := -1
	controlErr := rawConn.Control(func(fd uintptr) {
		accepted, _, err = unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	})
	if controlErr != nil || err != nil {
		return nil
	}
	file := os.NewFile(uintptr(accepted), "accepted connection")
	defer func() { _ = file.Close() }()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return l.admit(conn.(*net.TCPConn))
}
