package acaciagateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	acaciaplatformstandin "github.com/acaciaroute/acaciaroute/platform/standin"
)

// backoffEndpoint is an endpoint that turns the first request of the gateway "a" away.
type backoffEndpoint struct {
	retryAfter string

	mu           sync.Mutex
	turnedAwayAt time.Time
	// arrivals holds the times at which later requests came, by their gateway.
	arrivals map[string][]time.Time
}

// ServeHTTP implements http.Handler. The first letter of a request's ID names its gateway.
func (e *backoffEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	gateway := r.Header.Get(acaciaplatformstandin.HeaderRequestID)[:1]
	e.mu.Lock()
	defer e.mu.Unlock()
	if gateway == "a" && e.turnedAwayAt.IsZero() {
		e.turnedAwayAt = time.Now()
		w.Header().Set("Retry-After", e.retryAfter)
		acaciaplatformstandin.RespondNotRun(w, http.StatusServiceUnavailable)
		return
	}
	e.arrivals[gateway] = append(e.arrivals[gateway], time.Now())
	writeResponse(w, r, "")
}

// arrived counts the requests of a gateway that came between two times after the refusal.
func (e *backoffEndpoint) arrived(gateway string, from, to time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, at := range e.arrivals[gateway] {
		if since := at.Sub(e.turnedAwayAt); from <= since && since < to {
			count++
		}
	}
	return count
}

// An endpoint that turns a request of one gateway away and names a time gets no requests from that
// gateway before it is over; the other gateway goes on.
func TestEndpointGetsNothingFromGatewayThatItAskedToWait(t *testing.T) {
	const (
		pause = 1500 * time.Millisecond
		// underWay is the time in which requests may come that were sent before the refusal was read.
		underWay = 500 * time.Millisecond
	)
	e := &backoffEndpoint{retryAfter: "1.5", arrivals: map[string][]time.Time{}}
	b := newTestbed(t, e.ServeHTTP)
	second, secondURL := startGateway(t, b.gateway.settings.StoreURL, "g-2", []string{b.gateway.settings.PeerAddress})
	waitFor(t, func() bool { return b.gateway.usesTestEndpoint() && second.usesTestEndpoint() })
	var callers sync.WaitGroup
	var stopped atomic.Bool
	for i := range 4 {
		for name, url := range map[string]string{"a": b.url, "b": secondURL} {
			callers.Go(func() {
				for n := 0; !stopped.Load(); n++ {
					request, err := http.NewRequest(http.MethodPost, url+"/unsafe/", strings.NewReader(""))
					assert.Check(t, err)
					acaciaplatformstandin.SetCallerHeaders(request, fmt.Sprintf("%s-%d-%d", name, i, n))
					doRequest(request)
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
	waitFor(t, func() bool { return e.arrived("a", pause, time.Hour) > 0 })
	stopped.Store(true)
	callers.Wait()
	assert.Equal(t, e.arrived("a", underWay, pause), 0)
	assert.Check(t, e.arrived("b", underWay, pause) > 0)
}

// While all endpoints of a service want no requests, callers without the time to wait are refused at
// once, and told to return when the first endpoint takes requests again.
func TestCallersAreRefusedEarlyWhileAllEndpointsBackOff(t *testing.T) {
	e := &backoffEndpoint{retryAfter: "20", arrivals: map[string][]time.Time{}}
	b := newTestbed(t, e.ServeHTTP)
	refused := b.send(http.MethodPost, "/unsafe/", "a-1", "")
	assert.Equal(t, refused.status, http.StatusServiceUnavailable)
	sentAt := time.Now()
	refused = b.send(http.MethodPost, "/unsafe/", "a-2", "")
	assert.Equal(t, refused.status, http.StatusServiceUnavailable)
	assert.Check(t, refused.header.Get("Retry-After") != "")
	// The route's timeout is 3 s.
	assert.Check(t, time.Since(sentAt) < time.Second)
	assert.Equal(t, e.arrived("a", 0, time.Hour), 0)
	waitFor(t, func() bool { return strings.Contains(b.metrics(), "acaciaroute_gateway_backoff_endpoints 1") })
}

// A time that can't be read is none.
func TestUnreadableRetryAfterOfEndpointIsIgnored(t *testing.T) {
	for _, text := range []string{"-3", "soon", "NaN", "Wed, 21 Oct 2026 07:28:00 GMT"} {
		e := &backoffEndpoint{retryAfter: text, arrivals: map[string][]time.Time{}}
		b := newTestbed(t, e.ServeHTTP)
		assert.Equal(t, b.send(http.MethodPost, "/unsafe/", "a-1", "").status, http.StatusOK, text)
	}
}
