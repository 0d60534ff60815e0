package acaciaprocess

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

// Server is a running HTTP server; Close returns the error with which it has ended.
type Server struct {
	httpServer *http.Server
	serveErr   chan error
}

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// maxConcurrentStreams bounds the concurrent calls on one HTTP/2 connection.
	maxConcurrentStreams = 10_000
	// pingInterval and pingTimeout detect callers that no longer respond: on a
	// connection that is quiet for pingInterval the server sends an HTTP/2 ping, which
	// must be answered within pingTimeout.
	pingInterval = 5 * time.Second
	pingTimeout  = 5 * time.Second
)

// NewServer starts a server for callers at address, as IP:port, over HTTP/1 and HTTP/2
// without TLS. Callers may read their responses slowly, so their connections have no
// unacknowledgedTimeout.
func NewServer(ctx context.Context, address string, handler http.Handler) (*Server, error) {
	http2Config := &http.HTTP2Config{
		MaxConcurrentStreams: maxConcurrentStreams,
		SendPingTimeout:      pingInterval,
		PingTimeout:          pingTimeout,
	}
	return serve(ctx, net.ListenConfig{}, http2Config, address, handler)
}

// NewPeerServer starts a server for the other processes of the system. It differs from
// NewServer in that its connections have an unacknowledgedTimeout, because peers read at
// once what they are sent, and keepAliveConfig instead of HTTP/2 pings.
func NewPeerServer(ctx context.Context, address string, handler http.Handler) (*Server, error) {
	listenConfig := net.ListenConfig{KeepAliveConfig: keepAliveConfig, Control: setTCPUserTimeout}
	return serve(ctx, listenConfig, &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams}, address, handler)
}

func serve(ctx context.Context, listenConfig net.ListenConfig, http2Config *http.HTTP2Config, address string, handler http.Handler) (*Server, error) {
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
	return err
}
