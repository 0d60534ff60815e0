package acaciaentry

import (
	"net/http"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciachoice"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
)

// runAgain prepares a request for another place after a result. It returns what its
// caller must be told if there is none: the result of the last run that began.
func (e *Entry) runAgain(earlier *acaciaroute.Error, req *request, result acaciaroute.Error, endpoint string) *acaciaroute.Error {
	switch {
	case result.Code == acaciaroute.CodeRefused:
		return earlier
	case result.Code == acaciaroute.CodeTakenBack:
		req.takenBack = true
		e.process.Loop.Post(func() { e.chooser.Straggled(endpoint) })
	case req.repeatable():
		e.isolate(req)
	}
	return &result
}

// isolate has a request whose run broke off run alone, for it may have killed its
// endpoint.
func (e *Entry) isolate(req *request) {
	req.alone = true
	e.poison.Suspect(req.content())
	e.process.Recorder.Record(req.event(acaciaevent.RequestIsolated))
}

// giveUp answers a request that got no place, or no other one after a run that broke
// off.
func (e *Entry) giveUp(w http.ResponseWriter, req *request, broken *acaciaroute.Error, decision acaciachoice.Decision) acaciaroute.Code {
	if broken == nil {
		return e.shed(w, req, decision)
	}
	result := *broken
	result.RetryAfter = decision.RetryAfter
	kind := acaciaevent.RequestShed
	if decision.Code == acaciaroute.CodeCancelled {
		kind = acaciaevent.RequestCancelled
		result = acaciaroute.Error{Code: acaciaroute.CodeAbandoned, Detail: "the caller went away"}
	}
	event := req.event(kind)
	event.Code = result.Code
	event.Count = int64(decision.Asked)
	event.Detail = result.Detail
	e.describe(&event, decision)
	e.process.Recorder.Record(event)
	e.metrics.ended(req, result.Code)
	e.tally.Add(req.class.Name, req.organisation, acaciaprocess.TallyFailed, 1)
	e.writeError(w, &result)
	return result.Code
}
