package acaciagateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	acaciaplatformstandin "github.com/acaciaroute/acaciaroute/platform/standin"
)

// When endpoints lose their responses, a non-idempotent request must not run twice; an
// idempotent one may run again within the limits of its route.
func TestNonIdempotentRequestRunsOnceWhenResponseIsLost(t *testing.T) {
	var runsByEndpoint [3]atomic.Int64
	loseResponse := func(number int) http.HandlerFunc {
		return func(http.ResponseWriter, *http.Request) {
			runsByEndpoint[number].Add(1)
			panic(http.ErrAbortHandler)
		}
	}
	b := newTestbed(t, loseResponse(0), loseResponse(1), loseResponse(2))
	r := b.send(http.MethodPost, "/unsafe/", "r-1", "x")
	assert.Equal(t, r.status, http.StatusBadGateway)
	assert.Equal(t, runsByEndpoint[0].Load()+runsByEndpoint[1].Load()+runsByEndpoint[2].Load(), int64(1))
	for i := range runsByEndpoint {
		runsByEndpoint[i].Store(0)
	}
	r = b.send(http.MethodGet, "/safe/", "r-2", "")
	assert.Equal(t, r.status, http.StatusBadGateway)
	endpoints, runs := 0, int64(0)
	for i := range runsByEndpoint {
		if n := runsByEndpoint[i].Load(); n > 0 {
			endpoints++
			runs += n
		}
	}
	assert.Equal(t, endpoints, 2, "the route allows two endpoints")
	assert.Check(t, runs <= maxRuns, "%d", runs)
}

// The first endpoint accepts the request but never responds; the request must move to the
// other one.
func TestRequestMovesFromSilentEndpoint(t *testing.T) {
	for _, path := range []string{"/safe/", "/stream/"} {
		var calls atomic.Int64
		handler := func(w http.ResponseWriter, r *http.Request) {
			if calls.Add(1) == 1 {
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
				return
			}
			writeResponse(w, r, "id: 1\ndata: x\n\n")
		}
		b := newTestbed(t, handler, handler)
		r := b.send(http.MethodGet, path, "r-1", "")
		assert.NilError(t, r.err)
		assert.Equal(t, r.status, http.StatusOK, path)
		assert.Equal(t, calls.Load(), int64(2))
	}
}

// When all endpoints that its route allows have failed, an idempotent request must run again
// on one of them: the route limits the endpoints, not the runs.
func TestIdempotentRetryReusesEndpointsAtRouteLimit(t *testing.T) {
	var called [3]atomic.Int64
	var runs atomic.Int64
	handler := func(number int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			called[number].Store(1)
			if runs.Add(1) < 4 {
				acaciaplatformstandin.SetResponseHeaders(w, r, "seal")
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			writeResponse(w, r, "done")
		}
	}
	b := newTestbed(t, handler(0), handler(1), handler(2))
	r := b.send(http.MethodGet, "/safe/", "r-1", "")
	assert.Equal(t, r.body, "done")
	assert.Equal(t, runs.Load(), int64(4))
	assert.Equal(t, called[0].Load()+called[1].Load()+called[2].Load(), int64(2))
}

// A request that an endpoint refused without running it must be sent again, even if it is not
// idempotent.
func TestRefusedRequestIsSentAgain(t *testing.T) {
	var calls atomic.Int64
	refuseOnce := func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			writeResponse(w, r, "done")
			return
		}
		acaciaplatformstandin.RespondNotRun(w, http.StatusServiceUnavailable)
	}
	b := newTestbed(t, refuseOnce, refuseOnce)
	r := b.send(http.MethodPost, "/unsafe/", "r-1", "x")
	assert.Equal(t, r.status, http.StatusOK)
	assert.Equal(t, r.body, "done")
}

// An address that another endpoint has taken over must get no more requests, as each request
// sent there costs a retry (fault-injection runs replace servers at their addresses).
func TestMisdirectingEndpointGetsNoMoreRequests(t *testing.T) {
	const requests = 10
	var misdirected atomic.Int64
	b := newTestbed(t, func(w http.ResponseWriter, _ *http.Request) {
		misdirected.Add(1)
		acaciaplatformstandin.RespondNotRun(w, http.StatusMisdirectedRequest)
	})
	assert.Equal(t, b.send(http.MethodGet, "/safe/", "r-0", "").status, http.StatusServiceUnavailable)
	assert.Equal(t, misdirected.Load(), int64(1))
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// All calls together take longer than the time for which an overloaded endpoint is
		// suspended.
		time.Sleep(20 * time.Millisecond)
		writeResponse(w, r, "")
	}))
	t.Cleanup(other.Close)
	registerEndpoint(t, b.store, "i-2", other.Listener.Addr().String(), false)
	waitFor(t, func() bool { return b.send(http.MethodGet, "/safe/", "r-1", "").status == http.StatusOK })
	for i := range requests {
		assert.Equal(t, b.send(http.MethodGet, "/safe/", fmt.Sprintf("s-%d", i), "").status, http.StatusOK)
	}
	assert.Equal(t, misdirected.Load(), int64(1))
}

// A late copy of a refusal that names no request arrives on a connection that has been reused.
// The request that is waiting there runs: it must not be called not run, or be sent again.
func TestLateRefusalIsNotTakenForTheNextRequest(t *testing.T) {
	var runs atomic.Int64
	b := newTestbed(t, func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 1 {
			writeResponse(w, r, "first")
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		assert.Check(t, err)
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", acaciaplatformstandin.HeaderNotRun)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: r-2\r\n%s: seal\r\nContent-Length: 6\r\n\r\nsecond",
			acaciaplatformstandin.HeaderRequestID, acaciaplatformstandin.HeaderSignature)
	})
	assert.Equal(t, b.send(http.MethodPost, "/unsafe/", "r-1", "x").body, "first")
	second := b.send(http.MethodPost, "/unsafe/", "r-2", "x")
	assert.Equal(t, second.status, http.StatusOK)
	assert.Equal(t, second.body, "second")
	assert.Equal(t, runs.Load(), int64(2))
}

// An endpoint refuses a request, and writes the refusal once more when the same request comes again
// on that connection. The request then runs: it must not be called not run, or be sent again.
func TestRepeatedRefusalIsNotTakenForTheAnswerToTheRetry(t *testing.T) {
	var runs atomic.Int64
	var refusedAt atomic.Pointer[string]
	b := newTestbed(t, func(w http.ResponseWriter, r *http.Request) {
		if refusedAt.CompareAndSwap(nil, &r.RemoteAddr) {
			w.Header().Set(acaciaplatformstandin.HeaderRequestID, r.Header.Get(acaciaplatformstandin.HeaderRequestID))
			acaciaplatformstandin.RespondNotRun(w, http.StatusServiceUnavailable)
			return
		}
		runs.Add(1)
		if r.RemoteAddr != *refusedAt.Load() {
			writeResponse(w, r, "done")
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		assert.Check(t, err)
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: r-1\r\n%s: 1\r\nContent-Length: 0\r\n\r\n",
			acaciaplatformstandin.HeaderRequestID, acaciaplatformstandin.HeaderNotRun)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: r-1\r\n%s: seal\r\nContent-Length: 4\r\n\r\ndone",
			acaciaplatformstandin.HeaderRequestID, acaciaplatformstandin.HeaderSignature)
	})
	r := b.send(http.MethodPost, "/unsafe/", "r-1", "x")
	assert.Equal(t, r.status, http.StatusOK)
	assert.Equal(t, r.body, "done")
	assert.Equal(t, runs.Load(), int64(1))
}
