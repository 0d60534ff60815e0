package acaciaresponse

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"
)

type (
	// Transport is an http.RoundTripper that refuses malformed responses, also over TLS. It speaks HTTP/1.1.
	Transport struct {
		transport *http.Transport
	}

	dialFunc func(ctx context.Context, network, address string) (net.Conn, error)
)

// tlsHandshakeTimeout bounds the handshake of a TLS connection.
const tlsHandshakeTimeout = 10 * time.Second

// NewTransport returns a Transport with the settings of base, which it copies.
func NewTransport(base *http.Transport) *Transport {
	transport := base.Clone()
	transport.Protocols = new(http.Protocols)
	transport.Protocols.SetHTTP1(true)
	dial := dialFunc(transport.DialContext)
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	transport.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialTLS(ctx, dial, transport.TLSClientConfig, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	return &Transport{transport: transport}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	endRequest := func() {}
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, ok := info.Conn.(*Conn)
			if !ok {
				return
			}
			endRequest = conn.BeginRequest()
			// Without buffered bytes there is no error.
			_ = conn.ExpectResponse(nil)
		},
		WroteRequest: func(httptrace.WroteRequestInfo) { endRequest() },
	}
	return t.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() {
	t.transport.CloseIdleConnections()
}

// dialTLS opens a TLS connection over one that dial opens.
func dialTLS(ctx context.Context, dial dialFunc, config *tls.Config, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	conn, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if config = config.Clone(); config == nil {
		config = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	if config.ServerName == "" {
		config.ServerName = host
	}
	config.NextProtos = []string{"http/1.1"}
	ctx, cancel := context.WithTimeout(ctx, tlsHandshakeTimeout)
	defer cancel()
	secure := tls.Client(conn, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secure, nil
}
