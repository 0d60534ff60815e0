package acaciaentry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciachoice"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciapoison"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciatoml"
)

// maxAttempts limits how many grants one request uses: a request that provably did not
// run, or that may run twice, is dispatched again.
const maxAttempts = 4

// serveRequest answers a validated request.
func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request, req *request) {
	w.Header().Set(headerRequestID, req.id)
	arrived := req.newEvent(acaciaevent.RequestArrived)
	arrived.Inputs.ListAge = e.vmListAge()
	if req.mayRunTwice() {
		arrived.Detail = acaciaevent.DetailSafeMethod
	}
	e.process.Recorder.Record(arrived)
	if req.idempotencyKey != "" {
		// A claim of a key lasts, so that its request doesn't give way.
		if !req.passOn() {
			e.rejectRequest(w, req, errNoMemory)
			return
		}
		e.serveKeyed(w, r, req)
		return
	}
	e.dispatchRequest(w, r, req)
}

// checkPoison returns why the request must not run, CodeOK if it may. It rejects content that has
// crashed an endpoint while running alone, and prompts that begin like those that crashed several
// endpoints; it makes suspected content run alone.
func (e *Entry) checkPoison(w http.ResponseWriter, req *request) acaciaroute.Code {
	content := req.contentDigest()
	verdict := e.poison.Verdict(content)
	if verdict == acaciapoison.Banned {
		e.rejectRequest(w, req, acaciaroute.Errorf(acaciaroute.CodePoison, "an endpoint crashed while it ran this content alone"))
		return acaciaroute.CodePoison
	}
	if ban := e.poison.Refusal(acaciapoison.Traits(req.prompt.prefixes, content)); ban != nil {
		e.rejectRequest(w, req, &acaciaroute.Error{
			Code: acaciaroute.CodePoisonContent, Detail: fmt.Sprintf("%d endpoints crashed while running requests that begin like this one", ban.Crashes),
			RetryAfter: max(time.Until(ban.Until), time.Second),
		})
		return acaciaroute.CodePoisonContent
	}
	if verdict == acaciapoison.Suspect {
		e.process.Recorder.Record(req.newEvent(acaciaevent.RequestIsolated))
		req.exclusive = true
	}
	return acaciaroute.CodeOK
}

// dispatchRequest obtains a grant for the request, runs it and relays the response. It
// returns the result code. If the code's NotRun method reports true, the request has not
// run and never will.
func (e *Entry) dispatchRequest(w http.ResponseWriter, r *http.Request, req *request) acaciaroute.Code {
	if code := e.checkPoison(w, req); code != acaciaroute.CodeOK {
		return code
	}
	var lastRunError *acaciaroute.Error
	for attempt := 1; ; attempt++ {
		decision := e.awaitGrant(r.Context(), req)
		if !req.passOn() {
			e.agentLink.Withdraw(decision.Candidate.Address, req.id)
			e.rejectRequest(w, req, errNoMemory)
			return acaciaroute.CodeNoMemory
		}
		if decision.Code != acaciaroute.CodeOK {
			return e.rejectWithoutGrant(w, req, lastRunError, decision)
		}
		rl := newRelay(e, w, req, decision.Candidate.Address, decision.GrantNumber)
		rl.remote = decision.Candidate.Remote
		rl.recordAccepted(decision)
		result := rl.run(r.Context())
		e.agentLink.Withdraw(decision.Candidate.Address, req.id)
		e.reconcileRegionLink(rl, decision)
		// After an earlier run that began, the caller must not be told that the request
		// did not run.
		if holderID := rl.keyHolder.RequestID; lastRunError == nil && holderID != "" && holderID != req.id {
			return e.attachToHolder(w, r, req, rl.keyHolder)
		}
		if rl.mayRetry(result.Code) && attempt < maxAttempts && time.Since(req.arrived) < req.slack {
			e.keyedRuns.markWaiting(req.id)
			e.recordRetry(req, result, decision)
			if result.Code != acaciaroute.CodeRefused || rl.permanentlyRefused {
				req.excludedEndpoints = append(req.excludedEndpoints, decision.Candidate.ID)
			}
			lastRunError = e.prepareRetry(lastRunError, req, result, decision.Candidate.ID)
			continue
		}
		if result.Code == acaciaroute.CodeRefused {
			return e.rejectWithoutGrant(w, req, lastRunError, acaciachoice.Decision{Code: result.Code, RetryAfter: time.Second, Asked: decision.Asked})
		}
		e.finishRequest(rl, result)
		return result.Code
	}
}

// reconcileRegionLink corrects the budget of the link to other regions by the difference
// between the bytes debited for the request and those that it used, which are counted as
// the larger of the request's body and the part of the response's body that was sent.
func (e *Entry) reconcileRegionLink(rl *relay, decision acaciachoice.Decision) {
	if !rl.remote {
		return
	}
	used := max(int64(len(rl.req.body)), rl.offset)
	e.process.Loop.Post(func() { e.chooser.ReconcileRegionLink(rl.req.class.Name, decision.RegionLinkBytes, used) })
}

// awaitGrant submits the request to the chooser and waits for a grant or a rejection.
func (e *Entry) awaitGrant(ctx context.Context, req *request) acaciachoice.Decision {
	e.requestCounts.Add(req.class.Name, req.organisation, acaciaprocess.CountWaiting, 1)
	defer e.requestCounts.Add(req.class.Name, req.organisation, acaciaprocess.CountWaiting, -1)
	decided := make(chan acaciachoice.Decision, 1)
	reservation := req.reservation()
	e.process.Loop.Post(func() {
		e.chooser.Submit(reservation, req.isLowestClass, func(d acaciachoice.Decision) { decided <- d })
	})
	select {
	case decision := <-decided:
		e.metrics.agentsAsked.Observe(float64(decision.Asked))
		return decision
	case <-ctx.Done():
	case <-e.background.Done():
	}
	e.process.Loop.Post(func() { e.chooser.Cancel(req.id) })
	return acaciachoice.Decision{Code: acaciaroute.CodeCancelled}
}

// shedRequest rejects a request that got no grant and did not run.
func (e *Entry) shedRequest(w http.ResponseWriter, req *request, decision acaciachoice.Decision) acaciaroute.Code {
	kind := acaciaevent.RequestShed
	if decision.Code == acaciaroute.CodeCancelled {
		kind = acaciaevent.RequestCancelled
	}
	event := req.newEvent(kind)
	event.Code = decision.Code
	event.Count = int64(decision.Asked)
	e.addDecisionInputs(&event, decision)
	e.process.Recorder.Record(event)
	e.requestCounts.Add(req.class.Name, req.organisation, acaciaprocess.CountShed, 1)
	e.metrics.observeEnd(req, decision.Code)
	e.writeError(w, &acaciaroute.Error{
		Code:       decision.Code,
		Detail:     shedDetails[decision.Code],
		RetryAfter: decision.RetryAfter,
	})
	return decision.Code
}

// addDecisionInputs adds the inputs of the chooser's decision to an event.
func (e *Entry) addDecisionInputs(event *acaciaevent.Event, decision acaciachoice.Decision) {
	inputs := event.Inputs
	inputs.ListAge = e.vmListAge()
	inputs.Endpoints = decision.Endpoints
	inputs.Asked = decision.Asked
	inputs.Declined = decision.Declined
	inputs.Silent = decision.Silent
	inputs.RetryAfter = acaciaevent.RoundDuration(decision.RetryAfter)
}

// vmListAge returns the time since the VM list was last read, or zero if it never was.
func (e *Entry) vmListAge() acaciatoml.Duration {
	readAt := e.process.Directory.ReadAt()
	if readAt.IsZero() {
		return 0
	}
	return acaciaevent.RoundedSince(readAt)
}

// recordRetry records why a request is dispatched again.
func (e *Entry) recordRetry(req *request, result acaciaroute.Error, decision acaciachoice.Decision) {
	event := req.newEvent(acaciaevent.RequestRepeated)
	event.Endpoint = decision.Candidate.ID
	event.Code = result.Code
	event.Detail = result.Detail
	e.addDecisionInputs(&event, decision)
	e.process.Recorder.Record(event)
}

var shedDetails = map[acaciaroute.Code]string{
	acaciaroute.CodeShed:            "no endpoint can return the first token in time; the request did not run",
	acaciaroute.CodeDeadlineTooNear: "no agent granted the request in time; the request did not run",
	acaciaroute.CodeNoEndpoint:      "no reachable endpoint serves the model or service; the request did not run",
	acaciaroute.CodeCancelled:       "the caller disconnected; the request did not run",
	acaciaroute.CodeRefused:         "the agents refused the request permanently; it did not run",
}

// finishRequest records how a run ended in the events and metrics, and reports a failure to
// the caller.
func (e *Entry) finishRequest(rl *relay, result acaciaroute.Error) {
	event := rl.req.newEvent(acaciaevent.AnswerDelivered)
	event.Code = result.Code
	event.Detail = result.Detail
	event.Count = rl.offset
	event.Endpoint = rl.endpoint()
	event.Inputs.Attempts = rl.resumeAttempts
	if !rl.firstByteAt.IsZero() {
		event.Inputs.FirstByte = acaciaevent.RoundDuration(rl.firstByteAt.Sub(rl.req.arrived))
	}
	if result.Err != nil {
		event.Detail += ": " + result.Err.Error()
	}
	e.metrics.observeEnd(rl.req, result.Code)
	switch result.Code {
	case acaciaroute.CodeOK:
		e.requestCounts.Add(rl.req.class.Name, rl.req.organisation, acaciaprocess.CountDone, 1)
		if rl.withinTargets(time.Now()) {
			e.requestCounts.Add(rl.req.class.Name, rl.req.organisation, acaciaprocess.CountWithinTargets, 1)
		}
		e.metrics.countResult(acaciaroute.CodeOK)
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
		e.poison.MarkSuspect(rl.req.contentDigest())
	}
	if result.Code != acaciaroute.CodeAbandoned {
		e.requestCounts.Add(rl.req.class.Name, rl.req.organisation, acaciaprocess.CountFailed, 1)
	}
	e.process.Recorder.Record(event)
	rl.reportFailure(&result)
}
