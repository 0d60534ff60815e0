package acaciaentry

import (
	"container/list"
	"sync"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciakey"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

type (
	// keyedRuns holds the states of the requests with idempotency keys that this entry
	// has served. If they need more memory than there is, the states of requests that have ended
	// give way, the oldest ones of the organisation that has most. Agents are asked for what an entry
	// no longer knows; if they don't know it either, the outcome counts as unknown.
	//
	// Load pattern: callers send many requests, each with a new key, while others send a few.
	keyedRuns struct {
		// maxRuns bounds the number of states; zero for no bound.
		maxRuns int

		mu   sync.Mutex
		runs map[string]*keyedRun
		// ended holds the states of requests that have ended, by organisation, in the order of their end.
		ended map[string]*list.List
	}

	keyedRun struct {
		requestID    string
		organisation string
		state        acaciawire.RunState
		address      string
		updatedAt    time.Time
	}
)

// keyedRunBytes is what a state costs in memory: the record, its ID, and its places in the map and the list. A map that
// has just grown holds twice as much as before.
const keyedRunBytes = 400

// newKeyedRuns returns an empty table that may use maxBytes; zero stands for no bound.
func newKeyedRuns(maxBytes int64) *keyedRuns {
	return &keyedRuns{maxRuns: int(maxBytes / keyedRunBytes), runs: map[string]*keyedRun{}, ended: map[string]*list.List{}}
}

// begin registers a request with a key. The returned function must be called when the request has ended; until then its
// state is kept.
func (k *keyedRuns) begin(requestID, organisation string) (end func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	run := &keyedRun{requestID: requestID, organisation: organisation, state: acaciawire.RunWaiting, updatedAt: time.Now()}
	k.runs[requestID] = run
	k.removeExpired(organisation)
	for k.maxRuns > 0 && len(k.runs) > k.maxRuns && k.removeOldest() {
		continue
	}
	return func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		ended := k.ended[organisation]
		if ended == nil {
			ended = list.New()
			k.ended[organisation] = ended
		}
		ended.PushBack(run)
	}
}

// setState records the state of a request that has begun and not ended.
func (k *keyedRuns) setState(requestID string, state acaciawire.RunState, address string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if run := k.runs[requestID]; run != nil {
		run.state, run.address, run.updatedAt = state, address, time.Now()
	}
}

// markDispatched records the agent that a request was sent to, if the request has a key.
func (k *keyedRuns) markDispatched(requestID, address string) {
	k.setState(requestID, acaciawire.RunRunning, address)
}

// markWaiting records that a request waits for another grant, if the request has a key.
func (k *keyedRuns) markWaiting(requestID string) {
	k.setState(requestID, acaciawire.RunWaiting, "")
}

// find returns the state of a request; that of an unknown one is RunUnknown.
func (k *keyedRuns) find(requestID string) keyedRun {
	k.mu.Lock()
	defer k.mu.Unlock()
	if run := k.runs[requestID]; run != nil {
		return *run
	}
	return keyedRun{}
}

// memory returns how many bytes the states use, and may use.
func (k *keyedRuns) memory() (bytes, limit int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return int64(len(k.runs)) * keyedRunBytes, int64(k.maxRuns) * keyedRunBytes
}

// removeExpired removes the states of an organisation whose keys may be used again. It must be called with the lock held.
func (k *keyedRuns) removeExpired(organisation string) {
	ended := k.ended[organisation]
	for ended != nil && ended.Len() > 0 && time.Since(ended.Front().Value.(*keyedRun).updatedAt) > acaciakey.KeyRetention {
		k.removeFront(organisation)
	}
}

// removeOldest removes the oldest state of the organisation that has most, and reports whether there was one. It must be
// called with the lock held.
func (k *keyedRuns) removeOldest() bool {
	most, name := 0, ""
	for organisation, ended := range k.ended {
		if ended.Len() > most {
			most, name = ended.Len(), organisation
		}
	}
	if most == 0 {
		return false
	}
	k.removeFront(name)
	return true
}

func (k *keyedRuns) removeFront(organisation string) {
	ended := k.ended[organisation]
	run := ended.Remove(ended.Front()).(*keyedRun)
	delete(k.runs, run.requestID)
	if ended.Len() == 0 {
		delete(k.ended, organisation)
	}
}
