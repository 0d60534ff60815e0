package acaciagateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	acaciaplatformstandin "github.com/acaciaroute/acaciaroute/platform/standin"
)

func TestNonIdempotentRequestRunsOnceThoughItsAnswerIsLost(t *testing.T) {
	var ran [3]atomic.Int64
	lose := func(number int) http.HandlerFunc {
		return func(http.ResponseWriter, *http.Request) {
			ran[number].Add(1)
			panic(http.ErrAbortHandler)
		}
	}
	b := newBed(t, lose(0), lose(1), lose(2))
	r := b.send(http.MethodPost, "/unsafe/", "r-1", "x")
	assert.Equal(t, r.status, http.StatusBadGateway)
	assert.Equal(t, ran[0].Load()+ran[1].Load()+ran[2].Load(), int64(1))
	for i := range ran {
		ran[i].Store(0)
	}
	r = b.send(http.MethodGet, "/safe/", "r-2", "")
	assert.Equal(t, r.status, http.StatusBadGateway)
	endpoints, runs := 0, int64(0)
	for i := range ran {
		if n := ran[i].Load(); n > 0 {
			endpoints++
			runs += n
		}
	}
	assert.Equal(t, endpoints, 2, "the route allows two endpoints")
	assert.Check(t, runs <= maxRuns, "%d", runs)
}

// An endpoint that takes requests and says nothing more.
func TestSilentEndpointIsLeftForAnotherOne(t *testing.T) {
	for _, path := range []string{"/safe/", "/stream/"} {
		var asked atomic.Int64
		handler := func(w http.ResponseWriter, r *http.Request) {
			if asked.Add(1) == 1 {
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
				return
			}
			answer(w, r, "id: 1\ndata: x\n\n")
		}
		b := newBed(t, handler, handler)
		r := b.send(http.MethodGet, path, "r-1", "")
		assert.NilError(t, r.err)
		assert.Equal(t, r.status, http.StatusOK, path)
		assert.Equal(t, asked.Load(), int64(2))
	}
}

// A request whose endpoints all fail now and then runs again at one that had it: its route
// bounds the endpoints, not the runs.
func TestFailedIdempotentRequestRunsAgainWhereItRan(t *testing.T) {
	var endpoints [3]atomic.Int64
	var runs atomic.Int64
	handler := func(number int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			endpoints[number].Store(1)
			if runs.Add(1) < 4 {
				acaciaplatformstandin.Seal(w, r, "seal")
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			answer(w, r, "done")
		}
	}
	b := newBed(t, handler(0), handler(1), handler(2))
	r := b.send(http.MethodGet, "/safe/", "r-1", "")
	assert.Equal(t, r.body, "done")
	assert.Equal(t, runs.Load(), int64(4))
	assert.Equal(t, endpoints[0].Load()+endpoints[1].Load()+endpoints[2].Load(), int64(2))
}

func TestRefusalOfAnEndpointIsSentOn(t *testing.T) {
	var refused atomic.Int64
	full := func(w http.ResponseWriter, r *http.Request) {
		if refused.Add(1) > 1 {
			answer(w, r, "done")
			return
		}
		acaciaplatformstandin.RefuseUnrun(w, http.StatusServiceUnavailable)
	}
	b := newBed(t, full, full)
	r := b.send(http.MethodPost, "/unsafe/", "r-1", "x")
	assert.Equal(t, r.status, http.StatusOK)
	assert.Equal(t, r.body, "done")
}

// Each endpoint that runs the content dies; its caller sends it again and again.
func TestContentThatKillsEndpointsIsRefused(t *testing.T) {
	var deaths atomic.Int64
	var servers [4]*httptest.Server
	handlers := make([]http.HandlerFunc, len(servers))
	for i := range servers {
		handlers[i] = func(http.ResponseWriter, *http.Request) {
			deaths.Add(1)
			_ = servers[i].Listener.Close()
			panic(http.ErrAbortHandler)
		}
	}
	b := newBed(t)
	for i, handler := range handlers {
		servers[i] = httptest.NewServer(handler)
		t.Cleanup(servers[i].Close)
		register(t, b.store, fmt.Sprintf("i-%d", i), servers[i].Listener.Addr().String(), false)
	}
	waitFor(t, func() bool {
		b.send(http.MethodPost, "/unsafe/", "r", "poison")
		return deaths.Load() > maxDeaths
	})
	waitFor(t, func() bool {
		banned := false
		content := contentHash(http.MethodPost, "/unsafe/", "club", []byte("poison"))
		b.gateway.loop.Do(func() { banned = b.gateway.suspects.banned(content) })
		return banned
	})
	r := b.send(http.MethodPost, "/unsafe/", "r-last", "poison")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Check(t, strings.Contains(r.body, "poison_content"), r.body)
	assert.Equal(t, deaths.Load(), int64(maxDeaths+1))
}

// An address that another endpoint has taken over is spared: each request sent there costs
// a repeat (hunts play servers that are replaced at their addresses).
func TestAddressOfAnotherEndpointIsSpared(t *testing.T) {
	const requests = 10
	var misdirected atomic.Int64
	b := newBed(t, func(w http.ResponseWriter, _ *http.Request) {
		misdirected.Add(1)
		acaciaplatformstandin.RefuseUnrun(w, http.StatusMisdirectedRequest)
	})
	assert.Equal(t, b.send(http.MethodGet, "/safe/", "r-0", "").status, http.StatusServiceUnavailable)
	assert.Equal(t, misdirected.Load(), int64(1))
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Longer in all than a full endpoint is spared.
		time.Sleep(20 * time.Millisecond)
		answer(w, r, "")
	}))
	t.Cleanup(other.Close)
	register(t, b.store, "i-2", other.Listener.Addr().String(), false)
	waitFor(t, func() bool { return b.send(http.MethodGet, "/safe/", "r-1", "").status == http.StatusOK })
	for i := range requests {
		assert.Equal(t, b.send(http.MethodGet, "/safe/", fmt.Sprintf("s-%d", i), "").status, http.StatusOK)
	}
	assert.Equal(t, misdirected.Load(), int64(1))
}
