package acaciaprocess

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/acaciaroute/acaciaroute/acaciaconnection"
)

// guardedListener is a listener whose connections a guard watches.
type guardedListener struct {
	*net.TCPListener
	guard  *acaciaconnection.Guard
	closed atomic.Bool
}

const (
	// callerShare is the share of a process's sockets for callers' connections; the rest is for calls to agents and to the
	// platform.
	callerShare = 0.75
	// entryPeerShare is the share of an entry's sockets for the connections of other processes, which ask it for
	// the runs of keys and for its configuration.
	entryPeerShare = 0.1
	// agentPeerShare is that of an agent, which has no other callers.
	agentPeerShare = 0.75
	// metricsShare is that of the server for metrics alone, which has maxMetricsConnections at most.
	metricsShare          = 0.05
	maxMetricsConnections = 64

	// callerMultiplexedBytes is what a caller's connection of HTTP/2 costs in addition to any other one, with some of
	// callerReceiveBytes; peerMultiplexedBytes is that for a connection of another process that carries one request.
	callerMultiplexedBytes = 128 << 10
	peerMultiplexedBytes   = 28 << 10
)

// NewCallerGuard returns a guard for the connections of callers to a process that may have maxFDs descriptors and use
// maxBytes for connections; zero stands for no bound. makeRoom ends a request that holds up its connection.
func NewCallerGuard(maxFDs int, maxBytes int64, makeRoom func()) *acaciaconnection.Guard {
	return newGuard(acaciaconnection.Settings{
		MaxConnections: acaciaconnection.Share(maxFDs, callerShare), MaxBytes: maxBytes,
		MultiplexedBytes: callerMultiplexedBytes, MakeRoom: makeRoom,
	})
}

// newPeerGuard returns a guard for the connections of other processes.
func newPeerGuard(maxFDs int, share float64, maxBytes int64, makeRoom func()) *acaciaconnection.Guard {
	return newGuard(acaciaconnection.Settings{
		MaxConnections: acaciaconnection.Share(maxFDs, share), MaxBytes: maxBytes,
		MultiplexedBytes: peerMultiplexedBytes, MakeRoom: makeRoom,
	})
}

// newMetricsGuard returns a guard for the connections to a server for metrics alone.
func newMetricsGuard(maxFDs int) *acaciaconnection.Guard {
	return newGuard(acaciaconnection.Settings{MaxConnections: min(maxMetricsConnections, acaciaconnection.Share(maxFDs, metricsShare))})
}

// newGuard returns a guard with the limits of this package's servers.
func newGuard(settings acaciaconnection.Settings) *acaciaconnection.Guard {
	limits := acaciaconnection.Limits{MaxHeaderBytes: maxHeaderBytes, HeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	settings.Multiplexed = true
	settings.Limits = func() acaciaconnection.Limits { return limits }
	return acaciaconnection.NewGuard(settings)
}

// watch lets a guard watch the connections of the server until Close, and returns the listener to serve.
func (s *Server) watch(ctx context.Context, listener *net.TCPListener, guard *acaciaconnection.Guard) net.Listener {
	s.httpServer.ConnState = guard.SetState
	ctx, s.stopGuard = context.WithCancel(ctx)
	s.guardEnded = make(chan struct{})
	go func() {
		defer close(s.guardEnded)
		guard.Run(ctx)
	}()
	return &guardedListener{TCPListener: listener, guard: guard}
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return l.guard.Add(conn, func() bool { return !l.closed.Load() }), nil
}

// Close implements net.Listener.
func (l *guardedListener) Close() error {
	l.closed.Store(true)
	return l.TCPListener.Close()
}
