package acaciastandin

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// RawServer is a server that leaves each of its connections to a function, which can write what no HTTP server would.
type RawServer struct {
	listener net.Listener
	ended    chan struct{}
}

// StartRawServer starts a server on an address, which calls serve for each connection. If receiveBytes isn't zero,
// the operating system takes not much more than that of what a peer sends before serve reads it.
func StartRawServer(ctx context.Context, address string, receiveBytes int, serve func(*net.TCPConn)) (*RawServer, error) {
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		if receiveBytes == 0 {
			return nil
		}
		// The connections of a listener have the size of its buffer from the start.
		var err error
		controlErr := conn.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes)
		})
		return errors.Join(controlErr, err)
	}}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	s := &RawServer{listener: listener, ended: make(chan struct{})}
	go s.accept(serve)
	return s, nil
}

// Address returns the address on which the server listens.
func (s *RawServer) Address() string {
	return s.listener.Addr().String()
}

// Close ends the server and waits until it accepts no more connections; those that it has accepted go on.
func (s *RawServer) Close() {
	_ = s.listener.Close()
	<-s.ended
}

func (s *RawServer) accept(serve func(*net.TCPConn)) {
	defer close(s.ended)
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go serve(conn.(*net.TCPConn))
	}
}
