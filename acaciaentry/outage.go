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
	// agentHistory records when each agent was last in the VM list.
	agentHistory struct {
		mu     sync.Mutex
		agents map[string]agentRecord
	}

	agentRecord struct {
		vm acaciaroute.VM
		// lastListed is when the agent left the VM list, and zero while it is listed.
		lastListed time.Time
	}

	// keyLocks is one request's attempt to lock its idempotency key at all agents.
	keyLocks struct {
		entry  *Entry
		claim  acaciakey.Claim
		agents []acaciaroute.VM
		// upSince is the time since which every agent must have run without a restart.
		upSince time.Time
	}

	// lockResult is one agent's reply to a lock request.
	lockResult struct {
		holder acaciakey.Claim
		locked bool
	}
)

const (
	lockTimeout = time.Second
	// caughtUpMargin is how far the clocks of two processes and the ages of their VM lists may
	// differ.
	caughtUpMargin = 2 * time.Second
	// historyRetention is how long an agent is kept after it has left the VM list.
	historyRetention = 24 * time.Hour
)

func newAgentHistory() *agentHistory {
	return &agentHistory{agents: map[string]agentRecord{}}
}

// update applies a new VM list. Agents that are no longer listed count as listed until
// now.
func (h *agentHistory) update(vms []acaciaroute.VM, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	listed := map[string]bool{}
	for _, vm := range vms {
		if vm.Role == acaciaroute.RoleEndpoint {
			listed[vm.ID] = true
			h.agents[vm.ID] = agentRecord{vm: vm}
		}
	}
	for id, agent := range h.agents {
		switch {
		case !listed[id] && agent.lastListed.IsZero():
			agent.lastListed = now
			h.agents[id] = agent
		case !listed[id] && now.Sub(agent.lastListed) > historyRetention:
			delete(h.agents, id)
		}
	}
}

// listedSince returns the agents of a service that were still listed after a time, sorted
// by ID.
func (h *agentHistory) listedSince(service string, at time.Time) []acaciaroute.VM {
	h.mu.Lock()
	defer h.mu.Unlock()
	var vms []acaciaroute.VM
	for _, agent := range h.agents {
		if agent.vm.Service == service && (agent.lastListed.IsZero() || agent.lastListed.After(at)) {
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

// claimWithoutLog decides which request holds a key while the platform log is down. This
// is safe only if the log is down for every entry, and if every agent of the service that
// could have run a request with the key since the log was last read is asked, has not
// restarted in that time, and locks the key.
func (e *Entry) claimWithoutLog(ctx context.Context, req *request, claim acaciakey.Claim) (acaciakey.Claim, error) {
	caughtUp := e.keys.CaughtUpAt()
	if caughtUp.IsZero() || !e.logDownEverywhere(ctx, claim) {
		return acaciakey.Claim{}, acaciaroute.Errorf(acaciaroute.CodeKeyUndecided, "the log is down, but this entry has never read it or another entry does not report it down")
	}
	since := caughtUp.Add(-caughtUpMargin)
	locks := &keyLocks{entry: e, claim: claim, agents: e.agentHistory.listedSince(req.service.Name, since), upSince: since}
	holder, decided := locks.acquire(ctx)
	if !decided {
		return acaciakey.Claim{}, acaciaroute.Errorf(acaciaroute.CodeKeyUndecided, "the agents could not decide which request holds the key")
	}
	if holder.RequestID == claim.RequestID {
		e.keys.RecordUnlogged(claim)
	}
	return holder, nil
}

// logDownEverywhere asks all other entries about the log and reports whether it is down for
// each of them. An entry that does not reply counts as one that can use the log.
func (e *Entry) logDownEverywhere(ctx context.Context, claim acaciakey.Claim) bool {
	ctx, cancel := context.WithTimeout(ctx, lockTimeout)
	defer cancel()
	ownID := e.process.Settings.Process.ID
	var others []acaciaroute.VM
	for _, vm := range e.process.Directory.VMs() {
		if vm.Role == acaciaroute.RoleEntry && vm.ID != ownID {
			others = append(others, vm)
		}
	}
	logDown := make(chan bool, len(others))
	for _, vm := range others {
		go func() {
			message := &acaciawire.FindRunRequest{KeyHash: claim.KeyHash, RequestId: claim.RequestID}
			reply, err := e.process.Clients.Peer(vm.Address).FindRun(ctx, message)
			logDown <- err == nil && reply.LogDown
		}()
	}
	all := true
	for range others {
		all = <-logDown && all
	}
	return all
}

// acquire locks the key at all agents. It asks the first agent alone, so that only one of
// two racing entries wins there. It returns the holder, and false if the holder is not
// certain. If the first agent locks the key but not all others do, the locks are released.
func (k *keyLocks) acquire(ctx context.Context) (acaciakey.Claim, bool) {
	if len(k.agents) == 0 {
		return acaciakey.Claim{}, false
	}
	first := k.lockAt(ctx, k.agents[0])
	if !first.locked {
		return first.holder, first.holder.RequestID != ""
	}
	results := make(chan lockResult, len(k.agents)-1)
	for _, vm := range k.agents[1:] {
		go func() { results <- k.lockAt(ctx, vm) }()
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

// lockAt asks one agent to lock the key. The result counts as locked only if the agent has
// run since before upSince.
func (k *keyLocks) lockAt(ctx context.Context, vm acaciaroute.VM) lockResult {
	ctx, cancel := context.WithTimeout(ctx, lockTimeout)
	defer cancel()
	reply, err := k.entry.process.Clients.Agent(vm.Address).LockKey(ctx, &acaciawire.LockKeyRequest{
		KeyHash:   k.claim.KeyHash,
		RequestId: k.claim.RequestID,
		Entry:     k.claim.Entry,
	})
	if err != nil {
		k.recordFailure("lock key", vm, err)
		return lockResult{}
	}
	if !reply.Locked {
		holder := acaciakey.Claim{KeyHash: k.claim.KeyHash, RequestID: reply.HolderRequestId, Entry: reply.HolderEntry}
		return lockResult{holder: holder}
	}
	uptime := acaciawire.Microseconds(reply.UptimeUs)
	return lockResult{locked: time.Now().Add(-uptime).Before(k.upSince)}
}

func (k *keyLocks) recordFailure(call string, vm acaciaroute.VM, err error) {
	about := acaciaevent.Event{RequestID: k.claim.RequestID, KeyHash: k.claim.KeyHash, Endpoint: vm.ID}
	k.entry.process.Recorder.RecordCallFailure(call, about, err)
}

// release releases the locks at all agents in the background.
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
				k.recordFailure("release key lock", vm, err)
			}
		}()
	}
}

// attachToHolder answers a request that an agent refused because another request holds its
// key. It relays the holder's response, or rejects the request if the holder never runs.
func (e *Entry) attachToHolder(w http.ResponseWriter, r *http.Request, req *request, holder acaciakey.Claim) acaciaroute.Code {
	event := req.newEvent(acaciaevent.RequestShed)
	event.Code = acaciaroute.CodeRefused
	event.Detail = "the key is held by request " + holder.RequestID
	e.process.Recorder.Record(event)
	e.keyedRuns.setState(req.id, acaciawire.RunWillNotRun, "")
	if e.serveHolderResponse(w, r, req, holder) {
		e.rejectRequest(w, req, &acaciaroute.Error{
			Code:       acaciaroute.CodeKeyUndecided,
			Detail:     "the holder of the idempotency key did not run; " + undecidedKeyDetail,
			RetryAfter: time.Second,
		})
	}
	return acaciaroute.CodeRefused
}
