package acaciaentry

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciakey"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

type (
	// agentHistory remembers when each agent was last in the VM list.
	agentHistory struct {
		mu     sync.Mutex
		agents map[string]seenAgent
	}

	seenAgent struct {
		vm   acaciaroute.VM
		last time.Time
	}

	// keyLocks is one request's attempt to lock its key at all agents.
	keyLocks struct {
		entry  *Entry
		claim  acaciakey.Claim
		agents []acaciaroute.VM
		// since is the time from which every agent must have run without a break.
		since time.Time
	}

	// lockResult is what one agent says.
	lockResult struct {
		holder acaciakey.Claim
		locked bool
	}
)

const (
	lockTimeout = time.Second
	// watermarkMargin is how much the clocks and lists of two processes may be
	// apart.
	watermarkMargin = 2 * time.Second
	// historyLife is how long an agent that has left the list is remembered.
	historyLife = 24 * time.Hour
)

func newAgentHistory() *agentHistory {
	return &agentHistory{agents: map[string]seenAgent{}}
}

// note takes a new list; agents of the list before were in it until now.
func (h *agentHistory) note(vms []acaciaroute.VM, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	listed := map[string]bool{}
	for _, vm := range vms {
		if vm.Role == acaciaroute.RoleEndpoint {
			listed[vm.ID] = true
			h.agents[vm.ID] = seenAgent{vm: vm}
		}
	}
	for id, agent := range h.agents {
		switch {
		case !listed[id] && agent.last.IsZero():
			agent.last = now
			h.agents[id] = agent
		case !listed[id] && now.Sub(agent.last) > historyLife:
			delete(h.agents, id)
		}
	}
}

// since returns the agents of a service that were listed at a time or later, in
// order of their IDs.
func (h *agentHistory) since(service string, at time.Time) []acaciaroute.VM {
	h.mu.Lock()
	defer h.mu.Unlock()
	var vms []acaciaroute.VM
	for _, agent := range h.agents {
		if agent.vm.Service == service && (agent.last.IsZero() || agent.last.After(at)) {
			vms = append(vms, agent.vm)
		}
	}
	slices.SortFunc(vms, func(a, b acaciaroute.VM) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return vms
}

// claimWithoutLog decides who holds a key while the platform's log is down. It is
// safe only when every entry is without the log too, and every agent of the service
// that could have run the key since the log was last read is asked, has run all that
// time, and locks the key.
func (e *Entry) claimWithoutLog(ctx context.Context, req *request, claim acaciakey.Claim) (acaciakey.Claim, error) {
	caughtUp := e.keys.CaughtUp()
	if caughtUp.IsZero() || !e.logDownEverywhere(ctx, claim) {
		return acaciakey.Claim{}, acaciaroute.Errorf(acaciaroute.CodeKeyUndecided, "the log is down, or not for every entry")
	}
	since := caughtUp.Add(-watermarkMargin)
	locks := &keyLocks{entry: e, claim: claim, agents: e.seen.since(req.service.Name, since), since: since}
	holder, decided := locks.take(ctx)
	if !decided {
		return acaciakey.Claim{}, acaciaroute.Errorf(acaciaroute.CodeKeyUndecided, "an agent cannot tell who holds the key")
	}
	if holder.RequestID == claim.RequestID {
		e.keys.Remember(claim)
	}
	return holder, nil
}

// logDownEverywhere asks all other entries whether they can use the log.
func (e *Entry) logDownEverywhere(ctx context.Context, claim acaciakey.Claim) bool {
	ctx, cancel := context.WithTimeout(ctx, lockTimeout)
	defer cancel()
	own := e.process.Settings.Process.ID
	var others []acaciaroute.VM
	for _, vm := range e.process.Directory.VMs() {
		if vm.Role == acaciaroute.RoleEntry && vm.ID != own {
			others = append(others, vm)
		}
	}
	down := make(chan bool, len(others))
	for _, vm := range others {
		go func() {
			message := &acaciawire.FindRunRequest{KeyHash: claim.KeyHash, RequestId: claim.RequestID}
			reply, err := e.process.Clients.Peer(vm.Address).FindRun(ctx, message)
			down <- err == nil && reply.LogDown
		}()
	}
	all := true
	for range others {
		all = <-down && all
	}
	return all
}

// take locks the key at all agents, the first one alone so that of two racing
// entries one wins there. It returns the holder, and false if that is not certain;
// locks that were taken in vain are given back.
func (k *keyLocks) take(ctx context.Context) (acaciakey.Claim, bool) {
	if len(k.agents) == 0 {
		return acaciakey.Claim{}, false
	}
	first := k.ask(ctx, k.agents[0])
	if !first.locked {
		return first.holder, first.holder.RequestID != ""
	}
	results := make(chan lockResult, len(k.agents)-1)
	for _, vm := range k.agents[1:] {
		go func() { results <- k.ask(ctx, vm) }()
	}
	all := true
	var holder acaciakey.Claim
	for range k.agents[1:] {
		result := <-results
		all = all && result.locked
		if result.holder.RequestID != "" && !result.locked {
			holder = result.holder
		}
	}
	if all {
		return k.claim, true
	}
	k.release()
	return holder, holder.RequestID != ""
}

// ask asks one agent for its lock.
func (k *keyLocks) ask(ctx context.Context, vm acaciaroute.VM) lockResult {
	ctx, cancel := context.WithTimeout(ctx, lockTimeout)
	defer cancel()
	reply, err := k.entry.process.Clients.Agent(vm.Address).LockKey(ctx, &acaciawire.LockKeyRequest{
		KeyHash:   k.claim.KeyHash,
		RequestId: k.claim.RequestID,
		Entry:     k.claim.Entry,
	})
	if err != nil {
		k.failed("lock a key", vm, err)
		return lockResult{}
	}
	if !reply.Locked {
		holder := acaciakey.Claim{KeyHash: k.claim.KeyHash, RequestID: reply.HolderRequestId, Entry: reply.HolderEntry}
		return lockResult{holder: holder}
	}
	uptime := time.Duration(reply.UptimeUs) * time.Microsecond
	return lockResult{locked: time.Now().Add(-uptime).Before(k.since)}
}

func (k *keyLocks) failed(call string, vm acaciaroute.VM, err error) {
	about := acaciaevent.Event{RequestID: k.claim.RequestID, KeyHash: k.claim.KeyHash, Endpoint: vm.ID}
	k.entry.process.Recorder.Failed(call, about, err)
}

// release gives the locks back.
func (k *keyLocks) release() {
	for _, vm := range k.agents {
		go func() {
			ctx, cancel := context.WithTimeout(k.entry.background, lockTimeout)
			defer cancel()
			_, err := k.entry.process.Clients.Agent(vm.Address).LockKey(ctx, &acaciawire.LockKeyRequest{
				KeyHash:   k.claim.KeyHash,
				RequestId: k.claim.RequestID,
				Release:   true,
			})
			if err != nil {
				k.failed("give a lock back", vm, err)
			}
		}()
	}
}

// yieldTo answers a request whose key turned out at an agent to be held by
// another.
func (e *Entry) yieldTo(w http.ResponseWriter, r *http.Request, req *request, holder acaciakey.Claim) acaciaroute.Code {
	event := req.event(acaciaevent.RequestShed)
	event.Code = acaciaroute.CodeRefused
	event.Detail = "the key is held by request " + holder.RequestID
	e.process.Recorder.Record(event)
	e.keyed.set(req.id, acaciawire.RunNever, "")
	if e.serveRepeat(w, r, req, holder) {
		e.refuseKeyed(w, req, &acaciaroute.Error{
			Code:       acaciaroute.CodeKeyUndecided,
			Detail:     "the holder of the idempotency key did not run; " + undecidedDetail,
			RetryAfter: time.Second,
		})
	}
	return acaciaroute.CodeRefused
}
