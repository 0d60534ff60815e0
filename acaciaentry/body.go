package acaciaentry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciabody"
	"github.com/acaciaroute/acaciaroute/acaciamemory"
)

const (
	// requestBytes is what a request costs besides its head and body: goroutines, records, and the stream to an agent.
	requestBytes = 32 << 10
	// headCostFactor and bodyCostFactor are how many bytes a byte of a head and of a body costs: it is read, parsed, and
	// copied into the message to the agent.
	headCostFactor = 3
	bodyCostFactor = 3
	// unreadBodyTime bounds the time for which the server reads the rest of the body of a refused request.
	unreadBodyTime = time.Second
	// memoryRetryAfter is the Retry-After for requests that give way to others.
	memoryRetryAfter = time.Second
)

// errNoMemory is the error of a request that gives way to others, and the cause of the end of its context.
var errNoMemory = &acaciaroute.Error{
	Code: acaciaroute.CodeNoMemory, Detail: "requests hold too much memory, and this one gave way; it did not run", RetryAfter: memoryRetryAfter,
}

// withMemory wraps a handler so that the memory of its requests counts. The request's context ends if it must give way.
func (e *Entry) withMemory(next func(http.ResponseWriter, *http.Request, callerInfo, *acaciamemory.Request)) func(http.ResponseWriter, *http.Request, callerInfo) {
	return func(w http.ResponseWriter, r *http.Request, caller callerInfo) {
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		memory := acaciabody.Begin(e.requests, caller.organisation.Name, w, func() { cancel(errNoMemory) })
		defer memory.Release()
		next(w, r.WithContext(ctx), caller, memory)
	}
}

// readBody reads the request body within the configured limits of size and time and the memory for requests.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, memory *acaciamemory.Request) ([]byte, error) {
	settings, control := e.process.Settings.Entry, http.NewResponseController(w)
	body, err := acaciabody.Source{
		Body: http.MaxBytesReader(w, r.Body, settings.MaxBodyBytes), Announced: r.ContentLength, MaxBytes: settings.MaxBodyBytes,
		SetReadDeadline: control.SetReadDeadline, Deadline: time.Now().Add(time.Duration(settings.BodyTimeout)),
		Memory: memory, HeadBytes: requestBytes + headCostFactor*acaciabody.HeadBytes(r), CostFactor: bodyCostFactor,
	}.Read(r.Context())
	if err == nil && !memory.Enter(acaciamemory.PhaseWaiting) {
		err = acaciabody.ErrNoMemory
	}
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	memory.Release()
	acaciabody.CloseAfterError(w, r)
	switch {
	case errors.Is(err, acaciabody.ErrTooLarge):
		return nil, acaciaroute.Errorf(acaciaroute.CodeBodyTooLarge, "the request body is longer than %d bytes", settings.MaxBodyBytes)
	case errors.Is(err, acaciabody.ErrNoMemory):
		return nil, errNoMemory
	case errors.Is(err, acaciabody.ErrTooSlow):
		return nil, acaciaroute.Errorf(acaciaroute.CodeBodyTimeout, "the request body did not arrive within %s", time.Duration(settings.BodyTimeout))
	}
	return nil, &acaciaroute.Error{Code: acaciaroute.CodeBadRequest, Detail: "the request body cannot be read", Err: err}
}

// passOn records that an agent may have the request from now on, and reports false if it must give way instead.
func (r *request) passOn() bool {
	return r.memory.Enter(acaciamemory.PhaseRunning)
}
