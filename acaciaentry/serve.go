package acaciaentry

import (
	"context"
	"net/http"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciachoice"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciapoison"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciatoml"
)

// maxPlaces bounds how often a request that provably did not run looks for
// another place.
const maxPlaces = 4

// serve answers a checked request.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, req *request) {
	w.Header().Set(headerRequestID, req.id)
	arrived := req.event(acaciaevent.RequestArrived)
	arrived.Inputs.ListAge = e.listAge()
	if req.safe() {
		arrived.Detail = acaciaevent.DetailSafe
	}
	e.process.Recorder.Record(arrived)
	if req.key != "" {
		e.serveKeyed(w, r, req)
		return
	}
	e.serveOnce(w, r, req)
}

// admit refuses content that has killed an endpoint, and has suspected content run
// alone.
func (e *Entry) admit(w http.ResponseWriter, req *request) bool {
	switch e.poison.Verdict(req.content()) {
	case acaciapoison.Banned:
		e.refuseKeyed(w, req, acaciaroute.Errorf(acaciaroute.CodePoison, "an endpoint died while this content ran alone"))
		return false
	case acaciapoison.Suspect:
		e.process.Recorder.Record(req.event(acaciaevent.RequestIsolated))
		req.alone = true
	}
	return true
}

// serveOnce finds the request a place and relays the answer. It returns the
// result's code; any code that promises "not run" is true for good.
func (e *Entry) serveOnce(w http.ResponseWriter, r *http.Request, req *request) acaciaroute.Code {
	if !e.admit(w, req) {
		return acaciaroute.CodePoison
	}
	var broken *acaciaroute.Error
	for attempt := 1; ; attempt++ {
		decision := e.place(r.Context(), req)
		if decision.Code != acaciaroute.CodeOK {
			return e.giveUp(w, req, broken, decision)
		}
		rl := newRelay(e, w, req, decision.Candidate.Address, decision.Grant)
		rl.remote = decision.Candidate.Remote
		rl.accepted(decision)
		result := rl.run(r.Context())
		e.link.Withdraw(decision.Candidate.Address, req.id)
		e.settleLink(rl, decision)
		// A request that has run in part is not told that it did not run.
		if other := rl.holder.RequestID; broken == nil && other != "" && other != req.id {
			return e.yieldTo(w, r, req, rl.holder)
		}
		if rl.mayRunAgain(result.Code) && attempt < maxPlaces && time.Since(req.arrived) < req.slack {
			e.keyed.withdrawn(req.id)
			e.recordRepeat(req, result, decision)
			if result.Code != acaciaroute.CodeRefused || rl.barred {
				req.avoid = append(req.avoid, decision.Candidate.ID)
			}
			broken = e.runAgain(broken, req, result, decision.Candidate.ID)
			continue
		}
		if result.Code == acaciaroute.CodeRefused {
			return e.giveUp(w, req, broken, acaciachoice.Decision{Code: result.Code, RetryAfter: time.Second, Asked: decision.Asked})
		}
		e.finish(rl, result)
		return result.Code
	}
}

// settleLink gives back what a request has not used of the link to other regions.
func (e *Entry) settleLink(rl *relay, decision acaciachoice.Decision) {
	if !rl.remote {
		return
	}
	used := max(int64(len(rl.req.body)), rl.offset)
	e.process.Loop.Post(func() { e.chooser.SettleLink(rl.req.class.Name, decision.LinkBytes, used) })
}

// place waits for a grant.
func (e *Entry) place(ctx context.Context, req *request) acaciachoice.Decision {
	e.tally.Add(req.class.Name, req.organisation, acaciaprocess.TallyWaiting, 1)
	defer e.tally.Add(req.class.Name, req.organisation, acaciaprocess.TallyWaiting, -1)
	decided := make(chan acaciachoice.Decision, 1)
	reservation := req.reservation()
	e.process.Loop.Post(func() {
		e.chooser.Submit(reservation, req.yieldsFirst, func(d acaciachoice.Decision) { decided <- d })
	})
	select {
	case decision := <-decided:
		e.metrics.asked.Observe(float64(decision.Asked))
		return decision
	case <-ctx.Done():
	case <-e.background.Done():
	}
	e.process.Loop.Post(func() { e.chooser.Cancel(req.id) })
	return acaciachoice.Decision{Code: acaciaroute.CodeCancelled}
}

// shed answers a request that got no place and did not run.
func (e *Entry) shed(w http.ResponseWriter, req *request, decision acaciachoice.Decision) acaciaroute.Code {
	kind := acaciaevent.RequestShed
	if decision.Code == acaciaroute.CodeCancelled {
		kind = acaciaevent.RequestCancelled
	}
	event := req.event(kind)
	event.Code = decision.Code
	event.Count = int64(decision.Asked)
	e.describe(&event, decision)
	e.process.Recorder.Record(event)
	e.tally.Add(req.class.Name, req.organisation, acaciaprocess.TallyShed, 1)
	e.metrics.ended(req, decision.Code)
	e.writeError(w, &acaciaroute.Error{
		Code:       decision.Code,
		Detail:     shedDetails[decision.Code],
		RetryAfter: decision.RetryAfter,
	})
	return decision.Code
}

// describe adds what decided about a request's place.
func (e *Entry) describe(event *acaciaevent.Event, decision acaciachoice.Decision) {
	inputs := event.Inputs
	inputs.ListAge = e.listAge()
	inputs.Endpoints = decision.Endpoints
	inputs.Asked = decision.Asked
	inputs.Declined = decision.Declined
	inputs.Silent = decision.Silent
	inputs.RetryAfter = acaciaevent.Span(decision.RetryAfter)
}

// listAge returns how long ago the list of VMs was read; zero if it never was.
func (e *Entry) listAge() acaciatoml.Duration {
	readAt := e.process.Directory.ReadAt()
	if readAt.IsZero() {
		return 0
	}
	return acaciaevent.Since(readAt)
}

// recordRepeat tells why a request looks for another place.
func (e *Entry) recordRepeat(req *request, result acaciaroute.Error, decision acaciachoice.Decision) {
	event := req.event(acaciaevent.RequestRepeated)
	event.Endpoint = decision.Candidate.ID
	event.Code = result.Code
	event.Detail = result.Detail
	e.describe(&event, decision)
	e.process.Recorder.Record(event)
}

var shedDetails = map[acaciaroute.Code]string{
	acaciaroute.CodeShed:            "no endpoint can give the first token in time; the request did not run",
	acaciaroute.CodeDeadlineTooNear: "no endpoint gave the request a place in time; the request did not run",
	acaciaroute.CodeNoEndpoint:      "no endpoint that serves the model or service can be reached now; the request did not run",
	acaciaroute.CodeCancelled:       "the caller went away; the request did not run",
	acaciaroute.CodeRefused:         "the agents refused the request for good; it did not run",
}

// finish tells the caller and the time line how a run ended.
func (e *Entry) finish(rl *relay, result acaciaroute.Error) {
	event := rl.req.event(acaciaevent.AnswerDelivered)
	event.Code = result.Code
	event.Detail = result.Detail
	event.Count = rl.offset
	event.Endpoint = rl.endpoint()
	event.Inputs.Attempts = rl.attempts
	if !rl.first.IsZero() {
		event.Inputs.FirstByte = acaciaevent.Span(rl.first.Sub(rl.req.arrived))
	}
	if result.Err != nil {
		event.Detail += ": " + result.Err.Error()
	}
	e.metrics.ended(rl.req, result.Code)
	switch result.Code {
	case acaciaroute.CodeOK:
		e.tally.Add(rl.req.class.Name, rl.req.organisation, acaciaprocess.TallyDone, 1)
		if rl.withinTargets(time.Now()) {
			e.tally.Add(rl.req.class.Name, rl.req.organisation, acaciaprocess.TallyWithin, 1)
		}
		e.metrics.result(acaciaroute.CodeOK)
		e.process.Recorder.Record(event)
		return
	case acaciaroute.CodeAbandoned:
		event.Kind = acaciaevent.RequestCancelled
	case acaciaroute.CodeOutcomeUnknown:
		event.Kind = acaciaevent.OutcomeUnknown
	case acaciaroute.CodeRefused:
		event.Kind = acaciaevent.RequestShed
	default:
		event.Kind = acaciaevent.AnswerCut
		e.poison.Suspect(rl.req.content())
	}
	if result.Code != acaciaroute.CodeAbandoned {
		e.tally.Add(rl.req.class.Name, rl.req.organisation, acaciaprocess.TallyFailed, 1)
	}
	e.process.Recorder.Record(event)
	rl.fail(&result)
}
