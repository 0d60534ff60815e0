package acaciaengine

import (
	"net"
	"net/http"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaresponse"
)

const dialTimeout = 2 * time.Second

// NewClient returns an HTTP client for an endpoint. It opens a new connection for
// each call: on a reused connection that the endpoint has just closed, a call would fail
// or be sent again by the transport.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return newClient(dialer.DialContext)
}

// newClient returns the client of NewClient with the given dial function, which tests replace.
func newClient(dial dialFunc) *http.Client {
	transport := acaciaresponse.NewTransport(&http.Transport{
		DialContext:        guardDial(dial),
		DisableKeepAlives:  true,
		DisableCompression: true,
	})
	return &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
