package acaciaentry

import (
	"net/http"
	"strings"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciatarget"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

var connectionHeader = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Trailer": true, "Upgrade": true,
	"Proxy-Connection": true,
}

const writeTimeout = time.Minute

// mayStart reports whether the answer's head may go to the caller with a chunk. That
// of a model's answer waits for the first token: until then a repeatable request can
// still run elsewhere, and any failure is told by its code and not by a broken stream.
func (r *relay) mayStart(chunk *acaciawire.Chunk) bool {
	if r.req.service.Kind != acaciatarget.KindModel || len(chunk.Data) > 0 {
		return true
	}
	return chunk.Final && acaciaroute.Code(chunk.Code) == acaciaroute.CodeOK
}

// start writes the answer's head.
func (r *relay) start(chunk *acaciawire.Chunk) {
	r.started = true
	header := r.w.Header()
	for name, values := range acaciawire.ToHeader(chunk.Header) {
		if !connectionHeader[name] {
			header[name] = values
		}
	}
	header.Set(headerRequestID, r.req.id)
	r.events = strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
	r.w.WriteHeader(int(chunk.Status))
}

// countLink counts bytes of bodies that pass the link between regions.
func (r *relay) countLink(bytes int) {
	if r.remote {
		r.entry.metrics.linkBytes.WithLabelValues(r.req.class.Name).Add(float64(bytes))
	}
}

func (r *relay) write(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if r.offset == 0 {
		r.first = time.Now()
		r.entry.metrics.firstByte.WithLabelValues(r.req.class.Name).Observe(time.Since(r.req.arrived).Seconds())
	}
	control := http.NewResponseController(r.w)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := r.w.Write(data); err != nil {
		return err
	}
	r.offset += int64(len(data))
	r.countLink(len(data))
	_, _ = r.digest.Write(data)
	return control.Flush()
}

// withinTargets reports whether an answer that ended now met its class's times to
// the first byte and to the end.
func (r *relay) withinTargets(now time.Time) bool {
	first, whole := time.Duration(r.req.class.FirstToken), time.Duration(r.req.class.WholeTime)
	if first > 0 && !r.first.IsZero() && r.first.Sub(r.req.arrived) > first {
		return false
	}
	return whole == 0 || now.Sub(r.req.arrived) <= whole
}

// fail tells the caller of a failure: by an answer if none has begun, else by
// breaking the answer off so that it cannot be taken for a whole one.
func (r *relay) fail(err *acaciaroute.Error) {
	if !r.started {
		r.entry.writeError(r.w, err)
		return
	}
	r.entry.metrics.result(err.Code)
	if r.events {
		_, _ = r.w.Write([]byte("\nevent: error\ndata: "))
		_, _ = r.w.Write(errorJSON(err, r.req.id))
		_, _ = r.w.Write([]byte("\n"))
		_ = http.NewResponseController(r.w).Flush()
	}
	panic(http.ErrAbortHandler)
}
