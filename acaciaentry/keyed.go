package acaciaentry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciakey"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

type (
	// keyedBook holds what became of the requests with idempotency keys that this
	// entry has served.
	keyedBook struct {
		mu   sync.Mutex
		runs map[string]keyedRun
	}

	keyedRun struct {
		state   acaciawire.RunState
		address string
		at      time.Time
	}
)

const (
	// undecidedDetail is what is known of a call whose key nobody could decide on.
	undecidedDetail = "this call did not run, and whether an earlier one with the key did is not known"
	// keyAttempts bounds how often a caller's claim is made again because the
	// holder turned out never to run.
	keyAttempts  = 5
	waitInterval = 200 * time.Millisecond
	findTimeout  = 2 * time.Second
	maxKeyedRuns = 100_000
	// undecidedRetry is when a caller whose key was not decided comes back.
	undecidedRetry = 2 * time.Second
)

func newKeyedBook() *keyedBook {
	return &keyedBook{runs: map[string]keyedRun{}}
}

func (b *keyedBook) set(requestID string, state acaciawire.RunState, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[requestID] = keyedRun{state: state, address: address, at: time.Now()}
	if len(b.runs) > maxKeyedRuns {
		b.forgetOld()
	}
}

// dispatched notes where a request went, if it carries a key.
func (b *keyedBook) dispatched(requestID, address string) {
	if b.find(requestID).state != acaciawire.RunUnknown {
		b.set(requestID, acaciawire.RunRunning, address)
	}
}

// withdrawn notes that a request looks for another place.
func (b *keyedBook) withdrawn(requestID string) {
	if b.find(requestID).state != acaciawire.RunUnknown {
		b.set(requestID, acaciawire.RunWaiting, "")
	}
}

func (b *keyedBook) find(requestID string) keyedRun {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[requestID]
}

func (b *keyedBook) forgetOld() {
	for id, run := range b.runs {
		if time.Since(run.at) > acaciakey.KeyLife {
			delete(b.runs, id)
		}
	}
}

func (r *request) keyHash() string {
	if r.key == "" {
		return ""
	}
	return acaciakey.Hash(r.organisation, r.service.Name, r.key)
}

// serveKeyed answers a request with an idempotency key: it runs once, whichever
// entry its caller asks and however often.
func (e *Entry) serveKeyed(w http.ResponseWriter, r *http.Request, req *request) {
	claim := acaciakey.Claim{
		KeyHash:    req.keyHash(),
		BodyDigest: req.content(),
		RequestID:  req.id,
		Entry:      e.process.Settings.Process.Address,
		At:         time.Now(),
	}
	for range keyAttempts {
		e.keyed.set(req.id, acaciawire.RunWaiting, "")
		holder, err := e.keys.Claim(r.Context(), claim)
		if codeOf(err) == acaciaroute.CodeKeyUndecided && e.keys.Down() {
			holder, err = e.claimWithoutLog(r.Context(), req, claim)
		}
		if err != nil {
			e.keyed.set(req.id, acaciawire.RunNever, "")
			e.refuseUndecided(w, req, err)
			return
		}
		if holder.RequestID == req.id {
			e.serveHolder(w, r, req)
			return
		}
		e.keyed.set(req.id, acaciawire.RunNever, "")
		// An agent that named the holder does not know its body.
		if holder.BodyDigest != "" && holder.BodyDigest != claim.BodyDigest {
			e.process.Recorder.Record(req.event(acaciaevent.KeyConflict))
			e.refuseKeyed(w, req, acaciaroute.Errorf(acaciaroute.CodeKeyReused, "the idempotency key belongs to another request"))
			return
		}
		if !e.serveRepeat(w, r, req, holder) {
			return
		}
		claim.Replaces = holder.RequestID
		claim.At = time.Now()
	}
	e.refuseKeyed(w, req, &acaciaroute.Error{
		Code:       acaciaroute.CodeKeyUndecided,
		Detail:     "others keep claiming the idempotency key; " + undecidedDetail,
		RetryAfter: time.Second,
	})
}

// serveHolder runs the request that holds its key.
func (e *Entry) serveHolder(w http.ResponseWriter, r *http.Request, req *request) {
	if code := e.serveOnce(w, r, req); code.NotRun() {
		e.keyed.set(req.id, acaciawire.RunNever, "")
	}
}

// refuseUndecided answers a request whose key nobody could decide on.
func (e *Entry) refuseUndecided(w http.ResponseWriter, req *request, err error) {
	e.refuseKeyed(w, req, &acaciaroute.Error{
		Code:       acaciaroute.CodeKeyUndecided,
		Detail:     "who holds the idempotency key cannot be decided now; " + undecidedDetail,
		RetryAfter: undecidedRetry,
		Err:        err,
	})
}

func (e *Entry) refuseKeyed(w http.ResponseWriter, req *request, err error) {
	event := req.event(acaciaevent.RequestShed)
	event.Code = codeOf(err)
	event.Detail = err.Error()
	e.process.Recorder.Record(event)
	e.metrics.ended(req, event.Code)
	e.writeError(w, err)
}

// serveRepeat gives a caller the answer of the run that holds its key. It
// returns true when the holder is proved never to run, and has then answered
// nothing.
func (e *Entry) serveRepeat(w http.ResponseWriter, r *http.Request, req *request, holder acaciakey.Claim) bool {
	ctx := r.Context()
	for {
		found := e.findRun(ctx, req, holder)
		switch acaciawire.RunState(found.State) {
		case acaciawire.RunNever:
			return true
		case acaciawire.RunRunning, acaciawire.RunFinished:
			e.attachTo(w, r, req, found.Address, holder.RequestID)
			return false
		case acaciawire.RunUnknown:
			e.unknown(w, req)
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(waitInterval):
		}
	}
}

func (e *Entry) attachTo(w http.ResponseWriter, r *http.Request, req *request, address, runID string) {
	event := req.event(acaciaevent.KeyAttached)
	event.Detail = runID
	event.Endpoint = address
	e.process.Recorder.Record(event)
	rl := newRelay(e, w, req, address, 0)
	e.finish(rl, rl.attach(r.Context(), runID))
}

func (e *Entry) unknown(w http.ResponseWriter, req *request) {
	e.finish(newRelay(e, w, req, "", 0), acaciaroute.Error{
		Code:       acaciaroute.CodeOutcomeUnknown,
		Detail:     "a request with this idempotency key was accepted, and what became of it cannot be found now",
		RetryAfter: findTimeout,
	})
}

// findRun asks the entry that claimed the key what became of its request, and
// the agents if that entry cannot tell.
func (e *Entry) findRun(ctx context.Context, req *request, holder acaciakey.Claim) *acaciawire.FindRunReply {
	message := &acaciawire.FindRunRequest{KeyHash: holder.KeyHash, RequestId: holder.RequestID}
	if holder.Entry == e.process.Settings.Process.Address {
		if reply := e.FindRun(ctx, message); reply.State != int32(acaciawire.RunUnknown) {
			return reply
		}
		return e.findAtAgents(ctx, req, message)
	}
	entryCtx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	reply, err := e.process.Clients.Peer(holder.Entry).FindRun(entryCtx, message)
	if err == nil && reply.State != int32(acaciawire.RunUnknown) {
		return reply
	}
	if err != nil {
		e.process.Recorder.Failed("ask the key's entry for its run", req.event(acaciaevent.CallFailed), err)
	}
	return e.findAtAgents(ctx, req, message)
}

// findAtAgents asks all agents of the service at once.
func (e *Entry) findAtAgents(ctx context.Context, req *request, message *acaciawire.FindRunRequest) *acaciawire.FindRunReply {
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
				e.process.Recorder.Failed("ask an agent for a key's run", req.event(acaciaevent.CallFailed), err)
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
