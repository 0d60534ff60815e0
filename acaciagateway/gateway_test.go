package acaciagateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
	acaciaplatformstandin "github.com/acaciaroute/acaciaroute/platform/standin"
)

func TestLeavingEndpointGetsNothingNew(t *testing.T) {
	var old, fresh atomic.Int64
	b := newBed(t, func(w http.ResponseWriter, r *http.Request) {
		old.Add(1)
		answer(w, r, "")
	})
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fresh.Add(1)
		answer(w, r, "")
	}))
	t.Cleanup(other.Close)
	assert.Equal(t, b.send(http.MethodGet, "/safe/", "r-0", "").status, http.StatusOK)
	register(t, b.store, testEndpoint, b.addresses[0], true)
	register(t, b.store, "i-2", other.Listener.Addr().String(), false)
	waitFor(t, func() bool {
		return b.send(http.MethodGet, "/safe/", "r-1", "").status == http.StatusOK && fresh.Load() > 0
	})
	before := old.Load()
	for i := range 5 {
		assert.Equal(t, b.send(http.MethodGet, "/safe/", fmt.Sprintf("s-%d", i), "").status, http.StatusOK)
	}
	assert.Equal(t, old.Load(), before)
}

// An older configuration that comes late, from the store or a peer, changes nothing.
func TestOlderConfigurationIsNotTaken(t *testing.T) {
	b := newBed(t, func(w http.ResponseWriter, r *http.Request) { answer(w, r, "") })
	b.store.PutConfiguration(acaciaplatformstandin.Configuration(3, 3000, 0))
	waitFor(t, func() bool { return b.gateway.configuration.Load().Version == 3 })
	older, err := acaciaplatform.DecodeConfiguration(acaciaplatformstandin.Configuration(2, 1000, 1))
	assert.NilError(t, err)
	b.gateway.apply(&published{Configuration: older}, "peer")
	assert.Equal(t, b.gateway.configuration.Load().Version, int64(3))
}

// A gateway whose store turns it away gets the configuration from another one.
func TestConfigurationComesFromPeersWhileTheStoreIsAway(t *testing.T) {
	b := newBed(t, func(w http.ResponseWriter, r *http.Request) { answer(w, r, "") })
	second, _ := startGateway(t, b.gateway.settings.StoreURL, "g-2", []string{b.gateway.settings.PeerAddress})
	waitFor(t, func() bool {
		known := 0
		second.loop.Do(func() { known = second.members.Count() })
		return known == 2
	})
	b.store.SetDown(true)
	parsed, err := acaciaplatform.DecodeConfiguration(acaciaplatformstandin.Configuration(7, 3000, 0))
	assert.NilError(t, err)
	b.gateway.apply(&published{Configuration: parsed, text: acaciaplatformstandin.Configuration(7, 3000, 0)}, "the test")
	waitFor(t, func() bool { return second.configuration.Load().Version == 7 })
}

// A stop in the middle of a request: readiness goes first, the request ends whole.
func TestStoppingGatewayFinishesWhatItHas(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	b := newBed(t, func(w http.ResponseWriter, r *http.Request) {
		close(began)
		<-release
		answer(w, r, "done")
	})
	answered := make(chan reply)
	go func() { answered <- b.send(http.MethodPost, "/unsafe/", "r-1", "x") }()
	<-began
	closed := make(chan error)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		closed <- b.gateway.Close(ctx)
	}()
	waitFor(t, func() bool {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+b.gateway.settings.ReadyAddress+"/acaciaroute/ready", nil)
		assert.NilError(t, err)
		return do(request).status == http.StatusServiceUnavailable
	})
	close(release)
	r := <-answered
	assert.Equal(t, r.body, "done")
	assert.Equal(t, r.status, http.StatusOK)
	assert.NilError(t, <-closed)
}

func TestHistoryThatTheStoreForgetsIsReadAnew(t *testing.T) {
	b := newBed(t, func(w http.ResponseWriter, r *http.Request) { answer(w, r, "") })
	b.store.SetDown(true)
	b.store.PutConfiguration(acaciaplatformstandin.Configuration(3, 3000, 0))
	b.store.PutConfiguration(acaciaplatformstandin.Configuration(4, 3000, 0))
	b.store.Forget(string(acaciaplatform.TopicConfiguration))
	b.store.PutConfiguration(acaciaplatformstandin.Configuration(5, 3000, 0))
	b.store.SetDown(false)
	waitFor(t, func() bool { return b.gateway.configuration.Load().Version == 5 })
}
