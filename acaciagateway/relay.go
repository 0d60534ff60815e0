package acaciagateway

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciacrash"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciamemory"
	"github.com/acaciaroute/acaciaroute/acaciaschedule"
	"github.com/acaciaroute/acaciaroute/acaciasite"
	"github.com/acaciaroute/acaciaroute/acaciastall"
	"github.com/acaciaroute/acaciaroute/acaciaupstream"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

const (
	streamBufferBytes = 16 << 10
	// minEventsForInterval is the least number of events of a stream that is reported to the
	// scheduler.
	minEventsForInterval = 4
)

// relayStream forwards complete events to the caller as they arrive.
func (x *exchange) relayStream(ctx context.Context, response *acaciaupstream.Response, schedRequest *acaciaschedule.Request, wd *watchdog) (callOutcome, acaciaschedule.Failure, error) {
	held := x.gateway.answers.Hold(x.evictAnswer(wd))
	defer held.Release()
	var pending []byte
	buffer := make([]byte, streamBufferBytes)
	continues := x.origin != nil
	for {
		n, err := response.Read(buffer)
		pending = append(pending, buffer[:n]...)
		progress := x.fieldEvents
		complete, rest, eventErr := x.splitEvents(pending)
		if n > 0 {
			wd.stall.observe((*acaciastall.Watch).RecordBytes)
		}
		if x.fieldEvents > progress {
			wd.stall.observe((*acaciastall.Watch).RecordEvent)
			wd.resetSilenceTimer(max(minEventSilenceTimeout, gapFactor*x.route.MaxGap))
			x.observePause()
			if !x.canResumeStream() && !wd.pin() {
				return x.classifyReadError(ctx, response, wd, context.Cause(wd.ctx))
			}
		}
		x.recordProgress()
		if len(complete) > 0 {
			if continues {
				x.recordContinued()
				continues = false
			}
			x.sendStreamHeader(response, schedRequest)
			wd.stall.observe((*acaciastall.Watch).Hold)
			began := time.Now()
			if err := x.writeEvents(held, complete); err != nil {
				return outcomeCallerGone, 0, err
			}
			wd.stall.observe((*acaciastall.Watch).Release)
			if time.Since(began) > minEventSilenceTimeout/2 {
				// The endpoint could send little while the caller took nothing, and gets its time for the next event anew.
				wd.resetSilenceTimer(max(minEventSilenceTimeout, gapFactor*x.route.MaxGap))
			}
		}
		pending = append(pending[:0], rest...)
		held.Resize(cap(pending), time.Now())
		if eventErr != nil {
			err = eventErr
		}
		if err == nil {
			continue
		}
		if err = x.checkStreamEnd(ctx, response, err, pending); err != nil {
			return x.classifyReadError(ctx, response, wd, err)
		}
		x.sendStreamHeader(response, schedRequest)
		x.recordWholeStream()
		x.recordDelivered(response.Status)
		x.reportStream(schedRequest)
		return outcomeDelivered, 0, nil
	}
}

// checkStreamEnd returns an error unless the stream has ended as whole; err is what ended it, and rest what
// has come after the last whole event.
func (x *exchange) checkStreamEnd(ctx context.Context, response *acaciaupstream.Response, err error, rest []byte) error {
	switch {
	case !errors.Is(err, io.EOF):
		return err
	case len(rest) > 0:
		return io.ErrUnexpectedEOF
	}
	return x.proveEnd(ctx, response)
}

// classifyReadError returns the outcome of a call whose response could not be read to its end.
func (x *exchange) classifyReadError(ctx context.Context, response *acaciaupstream.Response, wd *watchdog, err error) (callOutcome, acaciaschedule.Failure, error) {
	if x.r.Context().Err() != nil {
		return outcomeCallerGone, 0, err
	}
	if wd.fired() {
		return outcomeFailed, wd.failure(), wd.cause()
	}
	if cause := context.Cause(ctx); errors.Is(cause, acaciamemory.ErrAnswersTooLarge) {
		return outcomeFailed, acaciaschedule.FailureInvalidResponse, cause
	}
	response.Close()
	x.checkEndpointCrash(ctx)
	return outcomeFailed, acaciaschedule.FailureInvalidResponse, err
}

// sendStreamHeader sends the response header of a stream before its first event, or at the end
// of a stream without events.
func (x *exchange) sendStreamHeader(response *acaciaupstream.Response, schedRequest *acaciaschedule.Request) {
	if x.headerSent {
		return
	}
	x.headerSent = true
	x.bindOrigin(schedRequest, response.ConnectedAt())
	x.headerSentAt = time.Now()
	x.copyHeader(response)
	x.w.WriteHeader(response.Status)
	event := x.newEvent(acaciaevent.FirstToken)
	event.Inputs = x.eventInputs(nil)
	x.gateway.recorder.Record(event)
	x.gateway.metrics.observeFirstEvent(x, time.Since(x.arrivedAt))
}

// reportStream reports a complete stream to the scheduler: its length unless it is the rest of another one, and its
// pauses unless the request ran more than once or the stream has too few events.
func (x *exchange) reportStream(schedRequest *acaciaschedule.Request) {
	if x.runs > 1 {
		return
	}
	if x.metadata.LastEventID == "" && x.metadata.Resumes == "" && x.fieldEvents > 0 {
		g, events := x.gateway, x.fieldEvents
		g.loop.Post(func() { g.scheduler.RecordLength(schedRequest, events) })
	}
	if x.eventCount < minEventsForInterval {
		return
	}
	observation := acaciaschedule.StreamObservation{
		Events: x.eventCount, LongPauses: x.longPauses, Interval: time.Since(x.headerSentAt) / time.Duration(x.eventCount-1),
	}
	g := x.gateway
	g.loop.Post(func() { g.scheduler.RecordStream(schedRequest, observation) })
}

// observePause counts the pause before an event that has just arrived, if it is longer than the
// route allows.
func (x *exchange) observePause() {
	now := time.Now()
	if !x.lastEventAt.IsZero() && x.route.MaxGap > 0 && now.Sub(x.lastEventAt) > x.route.MaxGap {
		x.longPauses++
	}
	x.lastEventAt = now
	x.observeRolloutEvent(now)
}

// copyHeader copies the headers of an endpoint's response to the caller's response. A
// Connection header that the gateway has set is kept.
func (x *exchange) copyHeader(response *acaciaupstream.Response) {
	header := x.w.Header()
	connection := header.Get("Connection")
	maps.Copy(header, acaciaplatform.CallerResponseHeader(response.Header))
	if connection != "" {
		header.Set("Connection", connection)
	}
	if response.Header.Get("Content-Type") == "" {
		// A nil value stops net/http from detecting a content type.
		header["Content-Type"] = nil
	}
}

// recordDelivered records that the complete response has been sent to the caller.
func (x *exchange) recordDelivered(status int) {
	event := x.newEvent(acaciaevent.AnswerDelivered)
	event.Inputs, event.Count = x.eventInputs(nil), int64(status)
	x.gateway.recorder.Record(event)
	x.gateway.metrics.countResponse(x, acaciaroute.CodeOK)
	if status < http.StatusInternalServerError && (x.eventCount > 0 || x.route.Kind != acaciasite.KindStream) {
		x.recordStage(acaciacrash.StageWhole)
	}
}
