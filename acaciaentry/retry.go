package acaciaentry

import (
	"net/http"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciachoice"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
)

// prepareRetry prepares a request for another dispatch after a result. It returns the
// error to report if no other grant is obtained: the result of the last run that began, or
// nil if none did.
func (e *Entry) prepareRetry(previous *acaciaroute.Error, req *request, result acaciaroute.Error, endpoint string) *acaciaroute.Error {
	switch {
	case result.Code == acaciaroute.CodeRefused:
		return previous
	case result.Code == acaciaroute.CodeTakenBack:
		req.takenBack = true
		e.process.Loop.Post(func() { e.chooser.MarkStraggling(endpoint) })
	case req.repeatable():
		e.isolateRequest(req)
	}
	return &result
}

// isolateRequest makes a request whose run broke off run alone, because it may have crashed
// its endpoint.
func (e *Entry) isolateRequest(req *request) {
	req.exclusive = true
	e.poison.MarkSuspect(req.contentDigest())
	e.process.Recorder.Record(req.newEvent(acaciaevent.RequestIsolated))
}

// rejectWithoutGrant rejects a request that got no grant. If an earlier run began, it
// reports the error of that run.
func (e *Entry) rejectWithoutGrant(w http.ResponseWriter, req *request, lastRunError *acaciaroute.Error, decision acaciachoice.Decision) acaciaroute.Code {
	if lastRunError == nil {
		return e.shedRequest(w, req, decision)
	}
	result := *lastRunError
	result.RetryAfter = decision.RetryAfter
	kind := acaciaevent.RequestShed
	if decision.Code == acaciaroute.CodeCancelled {
		kind = acaciaevent.RequestCancelled
		result = acaciaroute.Error{Code: acaciaroute.CodeAbandoned, Detail: "the caller disconnected"}
	}
	event := req.newEvent(kind)
	event.Code = result.Code
	event.Count = int64(decision.Asked)
	event.Detail = result.Detail
	e.addDecisionInputs(&event, decision)
	e.process.Recorder.Record(event)
	e.metrics.observeEnd(req, result.Code)
	e.requestCounts.Add(req.class.Name, req.organisation, acaciaprocess.CountFailed, 1)
	e.writeError(w, &result)
	return result.Code
}
