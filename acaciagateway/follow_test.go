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
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
	acaciaplatformstandin "github.com/acaciaroute/acaciaroute/platform/standin"
)

// inMemoryTransport calls a store without a network, as virtual time requires.
type inMemoryTransport struct {
	store *acaciaplatformstandin.Store
	// afterSnapshotPage runs after each page of the newest records.
	afterSnapshotPage func()
}

// RoundTrip implements http.RoundTripper.
func (m inMemoryTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	m.store.ServeHTTP(recorder, request)
	if strings.HasSuffix(request.URL.Path, "log-newest") {
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
