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

// An endpoint that the store lists as leaving must get no further requests.
func TestLeavingEndpointGetsNoNewRequests(t *testing.T) {
	var oldRequests, newRequests atomic.Int64
	b := newTestbed(t, func(w http.ResponseWriter, r *http.Request) {
		oldRequests.Add(1)
		writeResponse(w, r, "")
	})
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		newRequests.Add(1)
		writeResponse(w, r, "")
	}))
	t.Cleanup(other.Close)
	assert.Equal(t, b.send(http.MethodGet, "/safe/", "r-0", "").status, http.StatusOK)
	registerEndpoint(t, b.store, testEndpoint, b.addresses[0], true)
	registerEndpoint(t, b.store, "i-2", other.Listener.Addr().String(), false)
	waitFor(t, func() bool {
		return b.send(http.MethodGet, "/safe/", "r-1", "").status == http.StatusOK && newRequests.Load() > 0
	})
	before := oldRequests.Load()
	for i := range 5 {
		assert.Equal(t, b.send(http.MethodGet, "/safe/", fmt.Sprintf("s-%d", i), "").status, http.StatusOK)
	}
	assert.Equal(t, oldRequests.Load(), before)
}

// An older configuration that arrives late, from the store or a peer, must change nothing.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	b := newTestbed(t, func(w http.ResponseWriter, r *http.Request) { writeResponse(w, r, "") })
	b.store.PutConfiguration(acaciaplatformstandin.Configuration(3, 3000, 0))
	waitFor(t, func() bool { return b.gateway.configuration.Load().Version == 3 })
	older, err := acaciaplatform.DecodeConfiguration(acaciaplatformstandin.Configuration(2, 1000, 1))
	assert.NilError(t, err)
	b.gateway.applyConfiguration(&loadedConfiguration{Configuration: older}, "peer")
	assert.Equal(t, b.gateway.configuration.Load().Version, int64(3))
}

// A gateway that cannot read the store must get a new configuration from another gateway.
func TestConfigurationFromPeerDuringStoreOutage(t *testing.T) {
	b := newTestbed(t, func(w http.ResponseWriter, r *http.Request) { writeResponse(w, r, "") })
	second, _ := startGateway(t, b.gateway.settings.StoreURL, "g-2", []string{b.gateway.settings.PeerAddress})
	waitFor(t, func() bool {
		memberCount := 0
		second.loop.Do(func() { memberCount = second.members.Count() })
		return memberCount == 2
	})
	b.store.SetDown(true)
	parsed, err := acaciaplatform.DecodeConfiguration(acaciaplatformstandin.Configuration(7, 3000, 0))
	assert.NilError(t, err)
	b.gateway.applyConfiguration(&loadedConfiguration{Configuration: parsed, encoded: acaciaplatformstandin.Configuration(7, 3000, 0)}, "the test")
	waitFor(t, func() bool { return second.configuration.Load().Version == 7 })
}

// Close during a request must first report the gateway as not ready, and must let the request
// end with a complete response.
func TestCloseCompletesRequestInProgress(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	b := newTestbed(t, func(w http.ResponseWriter, r *http.Request) {
		close(received)
		<-release
		writeResponse(w, r, "done")
	})
	answered := make(chan testResponse)
	go func() { answered <- b.send(http.MethodPost, "/unsafe/", "r-1", "x") }()
	<-received
	closed := make(chan error)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		closed <- b.gateway.Close(ctx)
	}()
	waitFor(t, func() bool {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+b.gateway.settings.ReadyAddress+"/acaciaroute/ready", nil)
		assert.NilError(t, err)
		return doRequest(request).status == http.StatusServiceUnavailable
	})
	close(release)
	r := <-answered
	assert.Equal(t, r.body, "done")
	assert.Equal(t, r.status, http.StatusOK)
	assert.NilError(t, <-closed)
}

// A gateway whose position in the log has been trimmed away must read the newest records again.
func TestConfigurationIsReadAgainAfterLogTrim(t *testing.T) {
	b := newTestbed(t, func(w http.ResponseWriter, r *http.Request) { writeResponse(w, r, "") })
	b.store.SetDown(true)
	b.store.PutConfiguration(acaciaplatformstandin.Configuration(3, 3000, 0))
	b.store.PutConfiguration(acaciaplatformstandin.Configuration(4, 3000, 0))
	b.store.Compact(string(acaciaplatform.TopicConfiguration))
	b.store.PutConfiguration(acaciaplatformstandin.Configuration(5, 3000, 0))
	b.store.SetDown(false)
	waitFor(t, func() bool { return b.gateway.configuration.Load().Version == 5 })
}
