package acaciaentry

import (
	"net/http"
	"strings"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciatarget"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

// hopByHopHeaders are the header fields of the endpoint's connection, which are not
// forwarded to the caller.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Trailer": true, "Upgrade": true,
	"Proxy-Connection": true,
}

const writeTimeout = time.Minute

// mayWriteHeader reports whether the response's status and header may be sent to the caller
// when a chunk arrives. For a model they are held back until the first token: until then a
// repeatable request can still run at another endpoint, and a failure can be reported with
// its code instead of a broken stream.
func (r *relay) mayWriteHeader(chunk *acaciawire.Chunk) bool {
	if r.req.service.Kind != acaciatarget.KindModel || len(chunk.Data) > 0 {
		return true
	}
	return chunk.Final && acaciaroute.Code(chunk.Code) == acaciaroute.CodeOK
}

// writeHeader writes the response's status and header.
func (r *relay) writeHeader(chunk *acaciawire.Chunk) {
	r.headerSent = true
	header := r.w.Header()
	for name, values := range acaciawire.HeaderFromMessage(chunk.Header) {
		if !hopByHopHeaders[name] {
			header[name] = values
		}
	}
	header.Set(headerRequestID, r.req.id)
	r.eventStream = strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
	r.w.WriteHeader(int(chunk.Status))
}

// countRegionBytes counts body bytes that cross the link between regions.
func (r *relay) countRegionBytes(bytes int) {
	if r.remote {
		r.entry.metrics.regionLinkBytes.WithLabelValues(r.req.class.Name).Add(float64(bytes))
	}
}

// writeBody sends a part of the response body to the caller and flushes it.
func (r *relay) writeBody(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if r.offset == 0 {
		r.firstByteAt = time.Now()
		r.entry.metrics.firstByte.WithLabelValues(r.req.class.Name).Observe(time.Since(r.req.arrived).Seconds())
	}
	control := http.NewResponseController(r.w)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := r.w.Write(data); err != nil {
		return err
	}
	r.offset += int64(len(data))
	r.countRegionBytes(len(data))
	_, _ = r.digest.Write(data)
	return control.Flush()
}

// withinTargets reports whether a response that ends now meets the class's targets for the
// time to the first byte and the total time.
func (r *relay) withinTargets(now time.Time) bool {
	first, total := time.Duration(r.req.class.FirstToken), time.Duration(r.req.class.WholeTime)
	if first > 0 && !r.firstByteAt.IsZero() && r.firstByteAt.Sub(r.req.arrived) > first {
		return false
	}
	return total == 0 || now.Sub(r.req.arrived) <= total
}

// reportFailure reports a failure to the caller. If no part of the response was sent, it
// writes an error response; otherwise it aborts the response, so that the caller cannot
// take it for a complete one.
func (r *relay) reportFailure(err *acaciaroute.Error) {
	if !r.headerSent {
		r.entry.writeError(r.w, err)
		return
	}
	r.entry.metrics.countResult(err.Code)
	if r.eventStream {
		_, _ = r.w.Write([]byte("\nevent: error\ndata: "))
		_, _ = r.w.Write(errorJSON(err, r.req.id))
		_, _ = r.w.Write([]byte("\n"))
		_ = http.NewResponseController(r.w).Flush()
	}
	panic(http.ErrAbortHandler)
}
