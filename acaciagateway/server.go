package acaciagateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaconnection"
	"github.com/acaciaroute/acaciaroute/acacialoop"
)

type (
	// server is an HTTP server whose Drain answers all requests that have reached it.
	// http.Server.Shutdown alone does not: it resets connections that have not been accepted
	// yet, and drops requests that it reads meanwhile.
	server struct {
		http     *http.Server
		listener *drainingListener
		done     chan struct{}

		mu sync.Mutex
		// busy holds the connections on which a request is in progress or the first one is
		// awaited.
		busy map[net.Conn]bool
	}
)

const (
	// firstRequestTime is how long a drain waits for requests on new connections.
	firstRequestTime = time.Second
	// drainPollInterval is the time between two looks at the busy connections.
	drainPollInterval = 2 * time.Millisecond
)

// newServer returns a server for a listener that serves until Drain or Close.
func newServer(listener *net.TCPListener, httpServer *http.Server, guard *acaciaconnection.Guard) *server {
	s := &server{http: httpServer, listener: &drainingListener{TCPListener: listener, guard: guard}, done: make(chan struct{}), busy: map[net.Conn]bool{}}
	httpServer.ConnState = s.setState
	return s
}

// serve serves until the server is closed, and returns an error if it ends for another reason.
func (s *server) serve() error {
	defer close(s.done)
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Drain closes the listener, answers all requests that have reached the server and closes its
// connections. The handlers must ask callers to close theirs.
func (s *server) Drain(ctx context.Context) error {
	err := s.listener.Close()
	select {
	case <-s.done:
	case <-ctx.Done():
	}
	closedAt := time.Now()
	for ctx.Err() == nil && s.isBusy(time.Since(closedAt) < firstRequestTime) {
		acacialoop.Sleep(ctx, drainPollInterval)
	}
	return errors.Join(err, s.http.Shutdown(ctx))
}

// isBusy reports whether a request is in progress or, if so wanted, the first one of a connection
// is awaited.
func (s *server) isBusy(awaitFirst bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, active := range s.busy {
		if active || awaitFirst {
			return true
		}
	}
	return false
}

func (s *server) setState(conn net.Conn, state http.ConnState) {
	s.listener.guard.SetState(conn, state)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		s.busy[conn] = state == http.StateActive
	case http.StateIdle, http.StateClosed, http.StateHijacked:
		delete(s.busy, conn)
	}
}
