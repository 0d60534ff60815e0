package acaciabody

import (
	"net/http"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciamemory"
)

// headLineBytes is the least that a line of a head has besides its name and value.
const headLineBytes = 2

// Begin registers a request of a caller at the memory of requests. If the request must give way, evicted is called,
// which must not call acaciamemory, and a read of its body ends.
func Begin(requests *acaciamemory.Requests, caller string, w http.ResponseWriter, evicted func()) *acaciamemory.Request {
	return requests.Begin(caller, time.Now(), func(phase acaciamemory.Phase) {
		evicted()
		if phase == acaciamemory.PhaseReading {
			endReads(w)
		}
	})
}

// HeadBytes returns the size of a request's head, without spaces that may be left out.
func HeadBytes(r *http.Request) int64 {
	size := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + headLineBytes
		}
	}
	return int64(size)
}

// CloseAfterError makes the server end the request after the answer, without reading the rest of the body.
func CloseAfterError(w http.ResponseWriter, r *http.Request) {
	// A connection of HTTP/2 carries other requests, too.
	if r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	endReads(w)
}

// endReads makes reads of the request's body fail.
func endReads(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(0, 1))
}
