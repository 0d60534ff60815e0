package acaciaentry

import (
	"context"
	"net/http"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciakey"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

const (
	// undecidedKeyDetail is the error detail for a call whose key holder is undecided.
	undecidedKeyDetail = "this call did not run, and whether an earlier call with the key ran is unknown"
	// maxClaimAttempts limits how often a request claims its key, which it does again
	// when the holder turns out never to run.
	maxClaimAttempts = 5
	findInterval     = 200 * time.Millisecond
	findTimeout      = 2 * time.Second
	// undecidedRetryAfter is the Retry-After time for a caller whose key holder is
	// undecided.
	undecidedRetryAfter = 2 * time.Second
)

// keyHash returns the hash of the request's idempotency key, or "" if it has none.
func (r *request) keyHash() string {
	if r.idempotencyKey == "" {
		return ""
	}
	return acaciakey.KeyHash(r.organisation, r.service.Name, r.idempotencyKey)
}

// serveKeyed answers a request with an idempotency key. The request runs once, no matter
// how often and through which entries its caller sends it.
func (e *Entry) serveKeyed(w http.ResponseWriter, r *http.Request, req *request) {
	claim := acaciakey.Claim{
		KeyHash:       req.keyHash(),
		RequestDigest: req.contentDigest(),
		RequestID:     req.id,
		Entry:         e.process.Settings.Process.Address,
		At:            time.Now(),
	}
	defer e.keyedRuns.begin(req.id, req.organisation)()
	for range maxClaimAttempts {
		e.keyedRuns.setState(req.id, acaciawire.RunWaiting, "")
		holder, err := e.keys.Claim(r.Context(), claim)
		if errorCode(err) == acaciaroute.CodeKeyUndecided && e.keys.LogDown() {
			holder, err = e.claimWithoutLog(r.Context(), req, claim)
		}
		if err != nil {
			e.keyedRuns.setState(req.id, acaciawire.RunWillNotRun, "")
			e.rejectUndecided(w, req, err)
			return
		}
		if holder.RequestID == req.id {
			e.runKeyHolder(w, r, req)
			return
		}
		e.keyedRuns.setState(req.id, acaciawire.RunWillNotRun, "")
		// The holder's digest is empty if an agent named the holder, because agents do not
		// know it.
		if holder.RequestDigest != "" && holder.RequestDigest != claim.RequestDigest {
			e.process.Recorder.Record(req.newEvent(acaciaevent.KeyConflict))
			e.rejectRequest(w, req, acaciaroute.Errorf(acaciaroute.CodeKeyReused, "the idempotency key was already used for a different request"))
			return
		}
		if !e.serveHolderResponse(w, r, req, holder) {
			return
		}
		claim.Replaces = holder.RequestID
		claim.At = time.Now()
	}
	e.rejectRequest(w, req, &acaciaroute.Error{
		Code:       acaciaroute.CodeKeyUndecided,
		Detail:     "other requests keep claiming the idempotency key; " + undecidedKeyDetail,
		RetryAfter: time.Second,
	})
}

// runKeyHolder runs a request that holds its idempotency key.
func (e *Entry) runKeyHolder(w http.ResponseWriter, r *http.Request, req *request) {
	if code := e.dispatchRequest(w, r, req); code.NotRun() {
		e.keyedRuns.setState(req.id, acaciawire.RunWillNotRun, "")
	}
}

// rejectUndecided rejects a request whose key holder could not be determined.
func (e *Entry) rejectUndecided(w http.ResponseWriter, req *request, err error) {
	e.rejectRequest(w, req, &acaciaroute.Error{
		Code:       acaciaroute.CodeKeyUndecided,
		Detail:     "the holder of the idempotency key cannot be determined now; " + undecidedKeyDetail,
		RetryAfter: undecidedRetryAfter,
		Err:        err,
	})
}

// rejectRequest records that the request is shed and answers it with an error.
func (e *Entry) rejectRequest(w http.ResponseWriter, req *request, err error) {
	event := req.newEvent(acaciaevent.RequestShed)
	event.Code = errorCode(err)
	event.Detail = err.Error()
	e.process.Recorder.Record(event)
	e.metrics.observeEnd(req, event.Code)
	e.writeError(w, err)
}

// serveHolderResponse waits for the run that holds the request's key and relays its
// response. It reports whether the holder provably never runs; in that case nothing has
// been written to the caller.
func (e *Entry) serveHolderResponse(w http.ResponseWriter, r *http.Request, req *request, holder acaciakey.Claim) bool {
	ctx := r.Context()
	for {
		found := e.findRun(ctx, req, holder)
		switch acaciawire.RunState(found.State) {
		case acaciawire.RunWillNotRun:
			return true
		case acaciawire.RunRunning, acaciawire.RunFinished:
			e.attachToRun(w, r, req, found.Address, holder.RequestID)
			return false
		case acaciawire.RunUnknown:
			e.reportOutcomeUnknown(w, req)
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(findInterval):
		}
	}
}

// attachToRun relays the response of another request's run.
func (e *Entry) attachToRun(w http.ResponseWriter, r *http.Request, req *request, address, runID string) {
	event := req.newEvent(acaciaevent.KeyAttached)
	event.Detail = runID
	event.Endpoint = address
	e.process.Recorder.Record(event)
	rl := newRelay(e, w, req, address, 0)
	e.finishRequest(rl, rl.attach(r.Context(), runID))
}

func (e *Entry) reportOutcomeUnknown(w http.ResponseWriter, req *request) {
	e.finishRequest(newRelay(e, w, req, "", 0), acaciaroute.Error{
		Code:       acaciaroute.CodeOutcomeUnknown,
		Detail:     "a request with this idempotency key was accepted, but its outcome cannot be determined now",
		RetryAfter: findTimeout,
	})
}

// findRun asks the entry that claimed the key for the state of its request, and the agents
// if that entry does not know it.
func (e *Entry) findRun(ctx context.Context, req *request, holder acaciakey.Claim) *acaciawire.FindRunReply {
	message := &acaciawire.FindRunRequest{KeyHash: holder.KeyHash, RequestId: holder.RequestID}
	if holder.Entry == e.process.Settings.Process.Address {
		if reply := e.FindRun(ctx, message); reply.State != int32(acaciawire.RunUnknown) {
			return reply
		}
		return e.findRunAtAgents(ctx, req, message)
	}
	entryCtx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	reply, err := e.process.Clients.Peer(holder.Entry).FindRun(entryCtx, message)
	if err == nil && reply.State != int32(acaciawire.RunUnknown) {
		return reply
	}
	if err != nil {
		e.process.Recorder.RecordCallFailure("find the run at the entry that claimed the key", req.newEvent(acaciaevent.CallFailed), err)
	}
	return e.findRunAtAgents(ctx, req, message)
}

// findRunAtAgents asks all agents of the service concurrently for a run. It returns the
// first reply of an agent that has the run, or an empty reply if there is none.
func (e *Entry) findRunAtAgents(ctx context.Context, req *request, message *acaciawire.FindRunRequest) *acaciawire.FindRunReply {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	var addresses []string
	for _, vm := range e.process.Directory.VMs() {
		if vm.Role == acaciaroute.RoleEndpoint && vm.Service == req.service.Name {
			addresses = append(addresses, vm.Address)
		}
	}
	replies := make(chan *acaciawire.FindRunReply, len(addresses))
	for _, address := range addresses {
		go func() {
			reply, err := e.process.Clients.Peer(address).FindRun(ctx, message)
			if err != nil {
				e.process.Recorder.RecordCallFailure("find the run of a key at an agent", req.newEvent(acaciaevent.CallFailed), err)
				reply = &acaciawire.FindRunReply{}
			}
			replies <- reply
		}()
	}
	for range addresses {
		if reply := <-replies; reply.Address != "" {
			return reply
		}
	}
	return &acaciawire.FindRunReply{}
}
