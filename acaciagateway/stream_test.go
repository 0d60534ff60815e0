package acaciagateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	acaciaplatformstandin "github.com/acaciaroute/acaciaroute/platform/standin"
)

// An answer that breaks off before its first event is told as a failure of the gateway's
// own, without the endpoint's signature.
func TestStreamThatBreaksBeforeItsFirstEventCarriesNoSignature(t *testing.T) {
	b := newBed(t, func(w http.ResponseWriter, r *http.Request) {
		acaciaplatformstandin.Seal(w, r, "seal")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	r := b.send(http.MethodPost, "/stream/", "r-1", "")
	assert.NilError(t, r.err)
	assert.Check(t, r.status >= http.StatusBadGateway, "status %d", r.status)
	assert.Equal(t, r.header.Get(acaciaplatformstandin.HeaderSeal), "")
}

func TestStreamGoesOnAtAnotherEndpoint(t *testing.T) {
	var starts atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		acaciaplatformstandin.Seal(w, r, fmt.Sprintf("seal-%d", starts.Add(1)))
		if r.Header.Get("Last-Event-Id") == "2" {
			events(w, 3, 4)
			return
		}
		events(w, 1, 2)
		// The third event stops in its middle.
		_, _ = io.WriteString(w, "id: 3\nda")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	b := newBed(t, handler, handler)
	r := b.send(http.MethodPost, "/stream/", "r-1", "")
	assert.NilError(t, r.err)
	assert.Equal(t, r.body, "id: 1\ndata: x1\n\nid: 2\ndata: x2\n\nid: 3\ndata: x3\n\nid: 4\ndata: x4\n\n")
	assert.Equal(t, r.header.Get(acaciaplatformstandin.HeaderSeal), "seal-1")
}

func TestStreamThatCannotGoOnDoesNotLookWhole(t *testing.T) {
	b := newBed(t, func(w http.ResponseWriter, r *http.Request) {
		acaciaplatformstandin.Seal(w, r, "seal")
		events(w, 1, 2)
		// An event is missing.
		events(w, 4, 5)
	})
	r := b.send(http.MethodPost, "/stream/", "r-1", "")
	assert.Check(t, r.err != nil, "body %q", r.body)
	assert.Check(t, !strings.Contains(r.body, "x4"))
}

// A stream that has begun goes on at an endpoint that fails it (soak seeds 122, 135, 137:
// the empty body of the failure ended the stream as if it were whole).
func TestFailureOfAResumedStreamDoesNotEndItAsWhole(t *testing.T) {
	var starts atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		acaciaplatformstandin.Seal(w, r, "seal")
		if starts.Add(1) > 1 {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		events(w, 1, 2)
		panic(http.ErrAbortHandler)
	}
	b := newBed(t, handler, handler)
	r := b.send(http.MethodPost, "/stream/", "r-1", "")
	assert.Check(t, r.err != nil, "body %q", r.body)
}

func TestStreamThatStallsGoesOnElsewhere(t *testing.T) {
	var starts atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		acaciaplatformstandin.Seal(w, r, "seal")
		if starts.Add(1) == 2 {
			events(w, 3, 4)
			return
		}
		events(w, 1, 2)
		<-r.Context().Done()
	}
	b := newBed(t, handler, handler)
	r := b.send(http.MethodPost, "/stream/", "r-1", "")
	assert.NilError(t, r.err)
	assert.Equal(t, r.body, "id: 1\ndata: x1\n\nid: 2\ndata: x2\n\nid: 3\ndata: x3\n\nid: 4\ndata: x4\n\n")
}
