package acaciagateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	acaciaplatformstandin "github.com/acaciaroute/acaciaroute/platform/standin"
)

// leavingEndpoint starts an endpoint whose answers say that it is leaving and counts the requests that
// reach it.
func leavingEndpoint(t *testing.T, requests *atomic.Int64, answer http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		w.Header().Set(acaciaplatformstandin.HeaderLeaving, "1")
		answer(w, r)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// An endpoint that says in an answer of any kind that it is leaving must get no further requests
// while it runs, whatever the store says of it.
func TestEndpointThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	for name, test := range map[string]struct {
		path   string
		answer http.HandlerFunc
	}{
		"whole answer": {"/safe/", func(w http.ResponseWriter, r *http.Request) { writeResponse(w, r, "") }},
		"error": {"/unsafe/", func(w http.ResponseWriter, r *http.Request) {
			acaciaplatformstandin.SetResponseHeaders(w, r, "seal")
			w.WriteHeader(http.StatusInternalServerError)
		}},
		"refusal": {"/unsafe/", func(w http.ResponseWriter, _ *http.Request) {
			acaciaplatformstandin.RespondNotRun(w, http.StatusServiceUnavailable)
		}},
		"another endpoint at the address": {"/unsafe/", func(w http.ResponseWriter, _ *http.Request) {
			acaciaplatformstandin.RespondNotRun(w, http.StatusMisdirectedRequest)
		}},
		"stream": {"/stream/", func(w http.ResponseWriter, r *http.Request) {
			acaciaplatformstandin.SetResponseHeaders(w, r, "seal")
			writeEvents(w, 1, 2)
		}},
		"broken stream": {"/stream/", func(w http.ResponseWriter, r *http.Request) {
			acaciaplatformstandin.SetResponseHeaders(w, r, "seal")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var atLeaving, atOther atomic.Int64
			b := newTestbed(t)
			address := leavingEndpoint(t, &atLeaving, test.answer)
			registerEndpoint(t, b.store, "i-1", address, false)
			waitFor(t, func() bool {
				b.send(http.MethodPost, test.path, "r-0", "")
				return atLeaving.Load() > 0
			})
			b.registerAnswering("i-2", &atOther)
			// The store goes on calling it ready, or calls it ready again.
			registerEndpoint(t, b.store, "i-1", address, false)
			b.store.DeleteEndpoint("i-1")
			registerEndpoint(t, b.store, "i-1", address, false)
			before := atLeaving.Load()
			waitFor(t, func() bool { return b.send(http.MethodPost, "/unsafe/", "r-1", "").status == http.StatusOK })
			for i := range 10 {
				r := b.send(http.MethodPost, "/unsafe/", fmt.Sprintf("s-%d", i), "")
				assert.Equal(t, r.status, http.StatusOK, "%s: error %v", r.body, r.err)
			}
			assert.Equal(t, atLeaving.Load(), before)
		})
	}
}

// The caller has left before the body of the answer came. The header counts all the same.
func TestEndpointThatSaysItLeavesToCallerThatLeftGetsNoMoreRequests(t *testing.T) {
	t.Parallel()
	var atLeaving, atOther atomic.Int64
	b := newTestbed(t)
	ctx, leave := context.WithCancel(context.Background())
	registerEndpoint(t, b.store, "i-1", leavingEndpoint(t, &atLeaving, func(w http.ResponseWriter, r *http.Request) {
		acaciaplatformstandin.SetResponseHeaders(w, r, "seal")
		_ = http.NewResponseController(w).Flush()
		waitFor(t, func() bool { return !b.gateway.usesTestEndpoint() })
		leave()
		// The rest of the answer comes when nobody waits for it any more.
		<-r.Context().Done()
	}), false)
	waitFor(t, b.gateway.usesTestEndpoint)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, b.url+"/unsafe/", strings.NewReader(""))
	assert.NilError(t, err)
	acaciaplatformstandin.SetCallerHeaders(request, "r-0")
	assert.Check(t, doRequest(request).err != nil)
	b.registerAnswering("i-2", &atOther)
	waitFor(t, func() bool { return b.send(http.MethodPost, "/unsafe/", "r-1", "").status == http.StatusOK })
	assert.Equal(t, atLeaving.Load(), int64(1))
}

// A request that waits when an endpoint says that it leaves must not get the slot that becomes free
// there.
func TestWaitingRequestDoesNotReachLeavingEndpoint(t *testing.T) {
	t.Parallel()
	var atLeaving, atOther atomic.Int64
	release := make(chan struct{})
	b := newTestbed(t)
	registerEndpoint(t, b.store, "i-1", leavingEndpoint(t, &atLeaving, func(w http.ResponseWriter, r *http.Request) {
		<-release
		writeResponse(w, r, "")
	}), false)
	waitFor(t, b.gateway.usesTestEndpoint)
	const requests = 6
	statuses := make(chan int, requests)
	for i := range requests {
		go func() { statuses <- b.send(http.MethodPost, "/unsafe/", fmt.Sprintf("r-%d", i), "").status }()
	}
	waitFor(t, func() bool { return b.gateway.waitingCount() > 0 && atLeaving.Load() > 0 })
	sent := atLeaving.Load() + 1
	close(release)
	waitFor(t, func() bool { return !b.gateway.usesTestEndpoint() })
	b.registerAnswering("i-2", &atOther)
	for range requests {
		<-statuses
	}
	assert.Check(t, atLeaving.Load() <= sent+1, "%d requests, %d of them before the first answer", atLeaving.Load(), sent)
}

// Another start of the endpoint is another endpoint.
func TestEndpointThatStartsAgainIsUsed(t *testing.T) {
	t.Parallel()
	var atLeaving, atOther atomic.Int64
	b := newTestbed(t)
	registerEndpoint(t, b.store, "i-1", leavingEndpoint(t, &atLeaving, func(w http.ResponseWriter, r *http.Request) {
		writeResponse(w, r, "")
	}), false)
	waitFor(t, func() bool { return b.send(http.MethodPost, "/unsafe/", "r-0", "").status == http.StatusOK })
	waitFor(t, func() bool { return !b.gateway.usesTestEndpoint() })
	waitFor(t, func() bool { return strings.Contains(b.metrics(), "acaciaroute_gateway_leaving_endpoints 1") })
	server := answeringServer(t, &atOther)
	assert.NilError(t, b.store.PutEndpoint("i-1", server.Listener.Addr().String(), 2, false, 2))
	waitFor(t, func() bool { return b.send(http.MethodPost, "/unsafe/", "r-1", "").status == http.StatusOK })
	assert.Equal(t, atOther.Load(), int64(1))
}
