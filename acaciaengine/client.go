package acaciaengine

import (
	"net"
	"net/http"
	"time"
)

const dialTimeout = 2 * time.Second

// NewClient returns an HTTP client for an endpoint: it opens a connection for
// each call, so that a call never meets one that the endpoint has just closed
// and is never repeated by the transport.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return newClient(dialer.DialContext)
}

func newClient(dial dialFunc) *http.Client {
	transport := &http.Transport{
		DialContext:        guarded(dial),
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	return &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
