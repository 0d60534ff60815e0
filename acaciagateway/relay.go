package acaciagateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciaschedule"
	"github.com/acaciaroute/acaciaroute/acaciaupstream"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

const (
	// maxAnswerBytes bounds a plain answer.
	maxAnswerBytes = 32 << 20
	streamBytes    = 16 << 10
	maxEventBytes  = 1 << 20
	// minPaced is how many events tell the pace of an endpoint.
	minPaced = 4
)

var (
	errAnswerTooLong = errors.New("the answer is too long")
	errEventTooLong  = errors.New("an event is too long")
)

// relayPlain reads an answer whole and passes it on.
func (x *exchange) relayPlain(ctx context.Context, answer *acaciaupstream.Answer, guard *watchdog) (result, acaciaschedule.Failure, error) {
	body, err := io.ReadAll(io.LimitReader(answer, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errAnswerTooLong
	}
	if err != nil {
		if x.r.Context().Err() != nil {
			return resultGone, 0, err
		}
		if guard.fired() {
			return resultBroken, guard.failure(), guard.reason()
		}
		x.suspect(ctx)
		return resultBroken, acaciaschedule.FailedBroken, err
	}
	failure := acaciaschedule.Failure(0)
	if answer.Status >= http.StatusInternalServerError {
		failure = acaciaschedule.FailedRequest
	}
	x.head(answer)
	if answer.Length >= 0 || len(body) > 0 {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.w.WriteHeader(answer.Status)
	if _, err := x.w.Write(body); err != nil {
		return resultGone, failure, err
	}
	x.delivered(answer.Status)
	return resultAnswered, failure, nil
}

// relayStream passes whole events on as they come.
func (x *exchange) relayStream(ctx context.Context, answer *acaciaupstream.Answer, want *acaciaschedule.Request, guard *watchdog) (result, acaciaschedule.Failure, error) {
	flusher := http.NewResponseController(x.w)
	var pending []byte
	buffer := make([]byte, streamBytes)
	for {
		n, err := answer.Read(buffer)
		pending = append(pending, buffer[:n]...)
		whole, rest, eventErr := x.split(pending)
		if len(whole) > 0 {
			guard.progress(max(eventSilence, gapFactor*x.route.MaxGap))
			x.begin(answer)
			if _, err := x.w.Write(whole); err != nil {
				return resultGone, 0, err
			}
			if err := flusher.Flush(); err != nil {
				return resultGone, 0, err
			}
		}
		pending = append(pending[:0], rest...)
		switch {
		case eventErr != nil:
			err = eventErr
		case errors.Is(err, io.EOF) && len(pending) == 0:
			x.begin(answer)
			x.delivered(answer.Status)
			x.paced(want)
			return resultAnswered, 0, nil
		case errors.Is(err, io.EOF):
			err = io.ErrUnexpectedEOF
		}
		if err == nil {
			continue
		}
		if x.r.Context().Err() != nil {
			return resultGone, 0, err
		}
		if guard.fired() {
			return resultBroken, guard.failure(), guard.reason()
		}
		if ctx.Err() == nil {
			answer.Close()
			x.suspect(ctx)
		}
		return resultBroken, acaciaschedule.FailedBroken, err
	}
}

// begin sends the head of a stream with its first event.
func (x *exchange) begin(answer *acaciaupstream.Answer) {
	if x.began {
		return
	}
	x.began = true
	x.beganAt = time.Now()
	x.head(answer)
	x.w.WriteHeader(answer.Status)
	event := x.event(acaciaevent.FirstToken)
	event.Inputs = x.inputs(nil)
	x.gateway.recorder.Record(event)
	x.gateway.metrics.first(x, time.Since(x.arrived))
}

// paced notes how fast the events of a stream came that ran at one endpoint.
func (x *exchange) paced(want *acaciaschedule.Request) {
	if x.events < minPaced || x.runs > 1 {
		return
	}
	g, pace := x.gateway, time.Since(x.beganAt)/time.Duration(x.events-1)
	g.loop.Post(func() { g.scheduler.Paced(want, pace) })
}

// split returns the whole events at the start of data, and the rest. An event that does
// not follow the last one is an error.
func (x *exchange) split(data []byte) (whole, rest []byte, err error) {
	end := 0
	for {
		length := bytes.Index(data[end:], []byte("\n\n"))
		if length < 0 {
			break
		}
		event := data[end : end+length]
		if err := x.follow(event); err != nil {
			return data[:end], nil, err
		}
		end += length + 2
	}
	if len(data)-end > maxEventBytes {
		return data[:end], nil, errEventTooLong
	}
	return data[:end], data[end:], nil
}

// follow checks that an event comes after those that the caller has.
func (x *exchange) follow(event []byte) error {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id := string(bytes.TrimSpace(value))
		number, err := strconv.ParseInt(id, 10, 64)
		if err != nil {
			return fmt.Errorf("event with the ID %q: %w", id, err)
		}
		if last, err := strconv.ParseInt(x.after, 10, 64); err == nil && number != last+1 {
			return fmt.Errorf("event %d follows %d", number, last)
		}
		x.after = id
		x.events++
	}
	return nil
}

// head copies an answer's headers.
func (x *exchange) head(answer *acaciaupstream.Answer) {
	header := x.w.Header()
	closing := header.Get("Connection")
	maps.Copy(header, acaciaplatform.CallerHeader(answer.Header))
	if closing != "" {
		header.Set("Connection", closing)
	}
	if answer.Header.Get("Content-Type") == "" {
		// The server must not guess one.
		header["Content-Type"] = nil
	}
}

// delivered notes that the caller has the whole answer.
func (x *exchange) delivered(status int) {
	event := x.event(acaciaevent.AnswerDelivered)
	event.Inputs, event.Count = x.inputs(nil), int64(status)
	x.gateway.recorder.Record(event)
	x.gateway.metrics.answered(x, acaciaroute.CodeOK)
	g := x.gateway
	g.loop.Post(func() { g.suspects.ran(x.content) })
}
