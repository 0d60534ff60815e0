package acaciagateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	acaciaplatformstandin "github.com/acaciaroute/acaciaroute/platform/standin"
)

// A gateway that is stopped has a request for long. Until that ends it serves what is sure
// to end in time, and refuses the rest with a time to come back: all others may be stopping,
// too (dala-shred, all gateways stopped 1.3 s apart: 288 tries found no connection).
func TestDrainingGatewayServesWhatEndsInTime(t *testing.T) {
	const stopTime = 60 * time.Second
	release, reached := make(chan struct{}), make(chan struct{})
	releaseLate, reachedLate := make(chan struct{}), make(chan struct{})
	b := newBed(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/safe/long":
			close(reached)
			<-release
		case "/unsafe/late":
			close(reachedLate)
			<-releaseLate
		}
		answer(w, r, "")
	})
	b.store.PutConfiguration(acaciaplatformstandin.Configuration(2, int(2*stopTime/time.Millisecond), 0))
	waitFor(t, func() bool { return b.gateway.configuration.Load().Version == 2 })
	long := make(chan reply, 1)
	go func() { long <- b.send(http.MethodGet, "/safe/long", "r-1", "") }()
	<-reached
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	closed := make(chan error, 1)
	go func() { closed <- b.gateway.Close(ctx) }()
	waitFor(t, func() bool {
		b.gateway.inHand.mu.Lock()
		defer b.gateway.inHand.mu.Unlock()
		return b.gateway.inHand.draining
	})
	assert.Equal(t, b.send(http.MethodPost, "/unsafe/short", "r-2", "").status, http.StatusOK)
	refused := b.send(http.MethodGet, "/safe/", "r-3", "")
	assert.Equal(t, refused.status, http.StatusServiceUnavailable)
	assert.Check(t, refused.header.Get("Retry-After") != "")
	late := make(chan reply, 1)
	go func() { late <- b.send(http.MethodPost, "/unsafe/late", "r-4", "") }()
	<-reachedLate
	close(release)
	// The end of the last early request closes the listener; the late one still ends whole.
	waitFor(t, func() bool { return b.send(http.MethodPost, "/unsafe/", "r-5", "").err != nil })
	close(releaseLate)
	assert.Equal(t, (<-late).status, http.StatusOK)
	assert.Equal(t, (<-long).status, http.StatusOK)
	assert.NilError(t, <-closed)
}
