package acaciaprocess

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaconnection"
)

// Server is a running HTTP server; Close returns the error with which it has ended.
type Server struct {
	httpServer *http.Server
	serveErr   chan error
	// stopGuard ends the guard of a server, whose end guardEnded tells; both are nil without a guard.
	stopGuard  context.CancelFunc
	guardEnded chan struct{}
}

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// maxConcurrentStreams bounds the concurrent calls on one HTTP/2 connection, maxCallerStreams those of a caller.
	// callerReceiveBytes is how much of callers' bodies the server reads ahead for one connection, peerReceiveBytes that
	// of messages of other processes.
	maxConcurrentStreams = 10_000
	maxCallerStreams     = 250
	callerReceiveBytes   = 256 << 10
	peerReceiveBytes     = 256 << 10
	// maxFrameBytes is the largest HTTP/2 frame that is accepted, for which each connection keeps a buffer. Without it a
	// frame may have 1 MiB.
	maxFrameBytes = 16 << 10
	// pingInterval and pingTimeout detect callers that no longer respond: on a
	// connection that is quiet for pingInterval the server sends an HTTP/2 ping, which
	// must be answered within pingTimeout.
	pingInterval = 5 * time.Second
	pingTimeout  = 5 * time.Second
)

// NewCallerServer starts a server for callers or operators at address, as IP:port, over HTTP/1 and HTTP/2 without
// TLS, whose connections a guard watches. Callers may read their responses slowly, so their connections have no
// unacknowledgedTimeout.
func NewCallerServer(ctx context.Context, address string, handler http.Handler, guard *acaciaconnection.Guard) (*Server, error) {
	return serve(ctx, net.ListenConfig{}, callerHTTP2Config(), address, handler, guard)
}

func callerHTTP2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams:          maxCallerStreams,
		MaxReadFrameSize:              maxFrameBytes,
		MaxReceiveBufferPerConnection: callerReceiveBytes,
		MaxReceiveBufferPerStream:     callerReceiveBytes,
		SendPingTimeout:               pingInterval,
		PingTimeout:                   pingTimeout,
	}
}

// NewPeerServer starts a server for the other processes of the system. It differs from
// NewCallerServer in that its connections have an unacknowledgedTimeout, because peers read at
// once what they are sent, and keepAliveConfig instead of HTTP/2 pings. Argument guard may be nil.
func NewPeerServer(ctx context.Context, address string, handler http.Handler, guard *acaciaconnection.Guard) (*Server, error) {
	listenConfig := net.ListenConfig{KeepAliveConfig: keepAliveConfig, Control: setTCPUserTimeout}
	http2Config := &http.HTTP2Config{
		MaxConcurrentStreams:          maxConcurrentStreams,
		MaxReadFrameSize:              maxFrameBytes,
		MaxReceiveBufferPerConnection: peerReceiveBytes,
		MaxReceiveBufferPerStream:     peerReceiveBytes,
	}
	return serve(ctx, listenConfig, http2Config, address, handler, guard)
}

// serve starts a server; guard may be nil.
func serve(ctx context.Context, listenConfig net.ListenConfig, http2Config *http.HTTP2Config, address string, handler http.Handler, guard *acaciaconnection.Guard) (*Server, error) {
	listener, err := listenConfig.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, &acaciaroute.Error{Code: acaciaroute.CodeBadSettings, Detail: "cannot listen on the configured address", Err: err}
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &Server{
		httpServer: &http.Server{
			Handler:           handler,
			Protocols:         protocols,
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			HTTP2:             http2Config,
		},
		serveErr: make(chan error, 1),
	}
	if guard != nil {
		listener = s.watch(ctx, listener.(*net.TCPListener), guard)
	}
	go func() { s.serveErr <- s.httpServer.Serve(listener) }()
	return s, nil
}

// Close waits for open requests until ctx ends, closes the connections that are left,
// and returns when the server has ended.
func (s *Server) Close(ctx context.Context) error {
	err := s.httpServer.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, s.httpServer.Close())
	}
	if serveErr := <-s.serveErr; !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
	}
	if s.stopGuard != nil {
		s.stopGuard()
		<-s.guardEnded
	}
	return err
}
