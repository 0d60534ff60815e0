package acaciagateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acacialoop"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
	acaciaplatformstandin "github.com/acaciaroute/acaciaroute/platform/standin"
)

// inMemoryTransport calls a store without a network, as virtual time requires.
type inMemoryTransport struct {
	store *acaciaplatformstandin.Store
	// afterSnapshotPage, if set, runs after each page of the newest records.
	afterSnapshotPage func()
}

// RoundTrip implements http.RoundTripper.
func (m inMemoryTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	m.store.ServeHTTP(recorder, request)
	if m.afterSnapshotPage != nil && strings.HasSuffix(request.URL.Path, "log-newest") {
		m.afterSnapshotPage()
	}
	return recorder.Result(), nil
}

// A change made while the pages of a long list are read must be known directly after the list,
// not one poll interval later (in a sweep with 300 gateways and 3,004 endpoints, a request
// reached an endpoint 5.3 s after it had left).
func TestChangesDuringSnapshotAreReadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := acaciaplatformstandin.NewStore()
		assert.NilError(t, store.PutEndpoint(testEndpoint, anyPort, 1, false, 1))
		markLeaving := func() { assert.Check(t, store.PutEndpoint(testEndpoint, anyPort, 1, true, 1)) }
		client := acaciaplatform.New(acaciaplatform.Settings{Store: "http://store"}, inMemoryTransport{store: store, afterSnapshotPage: markLeaving})
		recorder := acaciaevent.NewRecorder("g-1", acaciaevent.NewClock(time.Now), logr.Discard(), 10)
		ctx, cancel := context.WithCancel(context.Background())
		changedAt := make(chan time.Time, 1)
		f := topicFollower{
			gateway:      &Gateway{store: client.Store(), recorder: recorder, metrics: NewMetrics()},
			topic:        acaciaplatform.TopicEndpoints,
			pollInterval: endpointsPollInterval,
			onSnapshot:   func([]acaciaplatform.Change) {},
			onChanges: func(changes []acaciaplatform.Change) {
				if len(changes) > 0 {
					changedAt <- time.Now()
					cancel()
				}
			},
		}
		startedAt := time.Now()
		f.run(ctx)
		assert.Equal(t, (<-changedAt).Sub(startedAt), time.Duration(0))
	})
}

// newFollowingGateway returns a gateway that has not been started and follows the store's topics
// without a network until the test ends.
func newFollowingGateway(t *testing.T, store *acaciaplatformstandin.Store) *Gateway {
	t.Helper()
	client := acaciaplatform.New(acaciaplatform.Settings{Store: "http://store"}, inMemoryTransport{store: store})
	recorder := acaciaevent.NewRecorder("g-1", acaciaevent.NewClock(time.Now), logr.Discard(), 1000)
	settings := acaciaplatform.ProcessSettings{Name: "g-1", DataCentre: "a", Region: "r", PeerAddress: "10.0.0.1:7600"}
	gateway := New(t.Context(), settings, client.Store(), recorder, NewMetrics())
	for _, run := range []func(context.Context){gateway.followConfiguration, gateway.followEndpoints, gateway.registerAndFollowPeers} {
		worker := acacialoop.NewWorker()
		worker.Start(t.Context(), run)
		t.Cleanup(worker.Close)
	}
	t.Cleanup(gateway.loop.Close)
	return gateway
}

// The store comes back from a copy without the newest two versions, and two are written before the
// gateway reads again, so that its old offset is the end of the topic. The second one was never in
// force (deploy/days/restored_early.toml).
func TestChangeConfirmedAfterRestoreOfStoreIsInForce(t *testing.T) {
	// configurationBound is the time within which a confirmed change must be in force.
	const configurationBound = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		store := acaciaplatformstandin.NewStore()
		publish := func(version int) { store.PutConfiguration(acaciaplatformstandin.Configuration(version, 3000, 0)) }
		publish(1)
		gateway := newFollowingGateway(t, store)
		time.Sleep(time.Second)
		backup := store.Backup()
		publish(2)
		publish(3)
		time.Sleep(time.Second)
		store.SetDown(true)
		time.Sleep(time.Second)
		store.Restore(backup)
		publish(3)
		publish(4)
		store.SetDown(false)
		time.Sleep(configurationBound)
		assert.Equal(t, gateway.configuration.Load().Version, int64(4))
	})
}
