package acaciaprocess

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

// Server is an HTTP server that reports its end.
type Server struct {
	http *http.Server
	done chan error
}

const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// maxStreams bounds the calls on one connection.
	maxStreams = 10_000
	// pingAfter and pingTimeout find callers that are gone.
	pingAfter   = 5 * time.Second
	pingTimeout = 5 * time.Second
)

// NewServer serves callers at an address, IP:port, over HTTP/1 and HTTP/2 without
// TLS. They may take their answers slowly.
func NewServer(ctx context.Context, address string, handler http.Handler) (*Server, error) {
	streams := &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams,
		SendPingTimeout:      pingAfter,
		PingTimeout:          pingTimeout,
	}
	return serve(ctx, net.ListenConfig{}, streams, address, handler)
}

// NewPeerServer serves the other processes of the system in the same way. They read at
// once what is sent.
func NewPeerServer(ctx context.Context, address string, handler http.Handler) (*Server, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: limitUnacknowledged}
	return serve(ctx, config, &http.HTTP2Config{MaxConcurrentStreams: maxStreams}, address, handler)
}

func serve(ctx context.Context, config net.ListenConfig, streams *http.HTTP2Config, address string, handler http.Handler) (*Server, error) {
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, &acaciaroute.Error{Code: acaciaroute.CodeBadSettings, Detail: "cannot listen", Err: err}
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &Server{
		http: &http.Server{
			Handler:           handler,
			Protocols:         protocols,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			HTTP2:             streams,
		},
		done: make(chan error, 1),
	}
	go func() { s.done <- s.http.Serve(listener) }()
	return s, nil
}

// Close stops the server gracefully until ctx ends, and waits for it.
func (s *Server) Close(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, s.http.Close())
	}
	if served := <-s.done; !errors.Is(served, http.ErrServerClosed) {
		err = errors.Join(err, served)
	}
	return err
}
