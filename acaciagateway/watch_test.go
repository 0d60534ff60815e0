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

// inMemory carries calls to a store without a network, so that time can be virtual.
type inMemory struct {
	store *acaciaplatformstandin.Store
	// afterNewest runs after each page of the newest records.
	afterNewest func()
}

// RoundTrip implements http.RoundTripper.
func (m inMemory) RoundTrip(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	m.store.ServeHTTP(recorder, request)
	if strings.HasSuffix(request.URL.Path, "log-newest") {
		m.afterNewest()
	}
	return recorder.Result(), nil
}

// An endpoint leaves while the pages of a long list are read: the gateway knows it with the
// list, not one pause later (a sweep with 300 gateways and 3,004 endpoints: a request reached
// an endpoint 5.3 s after it had left).
func TestChangeWhileTheListIsReadIsKnownWithIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := acaciaplatformstandin.NewStore()
		assert.NilError(t, store.PutEndpoint(testEndpoint, anyPort, 1, false, 1))
		leave := func() { assert.Check(t, store.PutEndpoint(testEndpoint, anyPort, 1, true, 1)) }
		client := acaciaplatform.New(acaciaplatform.Settings{Store: "http://store"}, inMemory{store: store, afterNewest: leave})
		recorder := acaciaevent.NewRecorder("g-1", acaciaevent.NewClock(time.Now), logr.Discard(), 10)
		ctx, cancel := context.WithCancel(context.Background())
		known := make(chan time.Time, 1)
		f := follower{
			gateway: &Gateway{store: client.Store(), recorder: recorder},
			topic:   acaciaplatform.TopicEndpoints,
			pause:   endpointsPause,
			whole:   func([]acaciaplatform.Change) {},
			changes: func(changes []acaciaplatform.Change) {
				if len(changes) > 0 {
					known <- time.Now()
					cancel()
				}
			},
		}
		began := time.Now()
		f.run(ctx)
		assert.Equal(t, (<-known).Sub(began), time.Duration(0))
	})
}
