package acaciagateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	acaciaplatformstandin "github.com/acaciaroute/acaciaroute/platform/standin"
)

// A stopping gateway with a long request in flight must accept requests whose deadline is
// before the end of the process, and refuse the others with Retry-After. If it refused
// connections, callers could find no gateway while the others are stopping too (scenario
// dala-shred with all gateways stopped 1.3 s apart: 288 attempts found no connection).
func TestDrainAcceptsOnlyRequestsThatEndInTime(t *testing.T) {
	const stopTime = 60 * time.Second
	releaseEarly, earlyReached := make(chan struct{}), make(chan struct{})
	releaseLate, lateReached := make(chan struct{}), make(chan struct{})
	b := newTestbed(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/safe/long":
			close(earlyReached)
			<-releaseEarly
		case "/unsafe/late":
			close(lateReached)
			<-releaseLate
		}
		writeResponse(w, r, "")
	})
	b.store.PutConfiguration(acaciaplatformstandin.Configuration(2, int(2*stopTime/time.Millisecond), 0))
	waitFor(t, func() bool { return b.gateway.configuration.Load().Version == 2 })
	long := make(chan testResponse, 1)
	go func() { long <- b.send(http.MethodGet, "/safe/long", "r-1", "") }()
	<-earlyReached
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	closed := make(chan error, 1)
	go func() { closed <- b.gateway.Close(ctx) }()
	waitFor(t, func() bool {
		b.gateway.inFlight.mu.Lock()
		defer b.gateway.inFlight.mu.Unlock()
		return b.gateway.inFlight.draining
	})
	assert.Equal(t, b.send(http.MethodPost, "/unsafe/short", "r-2", "").status, http.StatusOK)
	refused := b.send(http.MethodGet, "/safe/", "r-3", "")
	assert.Equal(t, refused.status, http.StatusServiceUnavailable)
	assert.Check(t, refused.header.Get("Retry-After") != "")
	late := make(chan testResponse, 1)
	go func() { late <- b.send(http.MethodPost, "/unsafe/late", "r-4", "") }()
	<-lateReached
	close(releaseEarly)
	// When the last request from before the drain ends, the listener closes; the request that
	// arrived during the drain must still be answered completely.
	waitFor(t, func() bool { return b.send(http.MethodPost, "/unsafe/", "r-5", "").err != nil })
	close(releaseLate)
	assert.Equal(t, (<-late).status, http.StatusOK)
	assert.Equal(t, (<-long).status, http.StatusOK)
	assert.NilError(t, <-closed)
}
