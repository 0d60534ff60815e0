package acaciarun

import (
	"context"
	"sync"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

type (
	// Book stores the runs of one agent and their answers. It is safe for concurrent
	// use.
	Book struct {
		settings Settings
		now      func() time.Time

		mu        sync.Mutex
		runsByID  map[string]*Run
		runsByKey map[string]*Run
		// rejected holds the IDs of the requests that must never run here.
		rejected map[string]time.Time
		// dropped holds the request IDs and key hashes whose runs are no longer
		// stored, so that they are not reported as never run.
		dropped map[string]time.Time
		locks   map[string]lock
	}

	// Settings set the retention times and size limits of a Book.
	Settings struct {
		// KeyedLife is how long the answer of a request with an idempotency key is
		// retained after its run ends. Rejected and dropped requests and locks are
		// remembered as long.
		KeyedLife time.Duration
		// Life is how long the answer of a request without a key is retained.
		Life time.Duration
		// Bytes limits the total size of the answers: above it, the oldest finished
		// ones are dropped.
		Bytes int64
		// Window limits the unread bytes of an answer without a key.
		Window int
		// Kept is how many bytes of such an answer are retained after they were
		// read. It must be at least the number of bytes that can be in flight to
		// the entry.
		Kept int
		// Patience is how long a run continues while no reader is connected.
		// KeyedPatience applies to requests with an idempotency key, whose caller
		// may reconnect.
		Patience      time.Duration
		KeyedPatience time.Duration
	}

	// Run is the execution of one request at the endpoint.
	Run struct {
		RequestID string
		KeyHash   string
		// Entry is the address of the entry that sent the request.
		Entry  string
		Grant  uint64
		Answer *Answer

		cancel    context.CancelFunc
		delivered bool
		readers   int
		// idleSince is when the run began or a reader last disconnected.
		idleSince  time.Time
		finishedAt time.Time
	}
)

// NewBook returns an empty book.
func NewBook(settings Settings, now func() time.Time) *Book {
	return &Book{
		settings:  settings,
		now:       now,
		runsByID:  map[string]*Run{},
		runsByKey: map[string]*Run{},
		rejected:  map[string]time.Time{},
		dropped:   map[string]time.Time{},
		locks:     map[string]lock{},
	}
}

// Begin registers a run and reports whether it may start. It may not if the request
// was permanently rejected, if its request ID or key has or had a run, or if another
// request holds the lock on the key. An earlier run of the request ID that ended with
// CodeTakenBack does not count.
func (b *Book) Begin(requestID, keyHash, entry string, grant uint64, cancel context.CancelFunc) (*Run, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, refused := b.rejected[requestID]; refused {
		return nil, false
	}
	if old := b.runsByID[requestID]; old != nil && old.takenBack() {
		b.dropRun(old)
		delete(b.dropped, requestID)
	}
	if b.hasOrHadRun(requestID, b.runsByID) || keyHash != "" && (b.hasOrHadRun(keyHash, b.runsByKey) || b.lockedByOther(keyHash, requestID)) {
		return nil, false
	}
	window := b.settings.Window
	if keyHash != "" {
		window = 0
	}
	run := &Run{
		RequestID: requestID,
		KeyHash:   keyHash,
		Entry:     entry,
		Grant:     grant,
		Answer:    NewAnswer(window, b.settings.Kept),
		cancel:    cancel,
		idleSince: b.now(),
	}
	b.runsByID[requestID] = run
	if keyHash != "" {
		b.runsByKey[keyHash] = run
	}
	return run, true
}

// takenBack reports whether the run was ended before its first token, so that its
// request may run again.
func (r *Run) takenBack() bool {
	return r.Answer.Code() == acaciaroute.CodeTakenBack
}

// Forget removes a run that did not reach the endpoint and permanently rejects its
// request.
func (b *Book) Forget(run *Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropRun(run)
	delete(b.dropped, run.RequestID)
	delete(b.dropped, run.KeyHash)
	b.rejected[run.RequestID] = b.now()
}

// End records that the endpoint has finished a run.
func (b *Book) End(run *Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	run.finishedAt = b.now()
}

// Deliver records that a reader has received the complete answer.
func (b *Book) Deliver(run *Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	run.delivered = true
}

// Delivered reports whether no run is active, no reader is connected, and every
// answer was read to its end or has had no reader for undeliveredTimeout.
func (b *Book) Delivered() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, run := range b.runsByID {
		if run.readers > 0 || run.finishedAt.IsZero() || !run.delivered && b.now().Sub(run.idleSince) < undeliveredTimeout {
			return false
		}
	}
	return true
}

// undeliveredTimeout is how long a stopping agent waits for a reader of an answer
// that has not been read to its end.
const undeliveredTimeout = 10 * time.Second

// Find returns the run of a request, or nil.
func (b *Book) Find(requestID string) *Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runsByID[requestID]
}

// FindKey returns the run of an idempotency key, or nil.
func (b *Book) FindKey(keyHash string) *Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runsByKey[keyHash]
}

// KeyDropped reports whether a key had a run whose answer is no longer stored.
func (b *Book) KeyDropped(keyHash string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, dropped := b.dropped[keyHash]
	return dropped
}

// Settle returns the state of a request. A request that never had a run is
// permanently rejected, so that RunNever remains true.
func (b *Book) Settle(requestID string) acaciawire.RunState {
	b.mu.Lock()
	defer b.mu.Unlock()
	run, ok := b.runsByID[requestID]
	switch {
	case !ok && b.hasOrHadRun(requestID, b.runsByID):
		return acaciawire.RunFinished
	case !ok:
		b.rejected[requestID] = b.now()
		return acaciawire.RunNever
	case run.Answer.Finished():
		return acaciawire.RunFinished
	}
	return acaciawire.RunRunning
}

// Cancel cancels the execution of a request at the endpoint.
func (b *Book) Cancel(requestID string) {
	if run := b.Find(requestID); run != nil {
		run.cancel()
	}
}

// AddReader registers a reader of the run's answer. The returned function removes
// it.
func (b *Book) AddReader(run *Run) func() {
	b.mu.Lock()
	defer b.mu.Unlock()
	run.readers++
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		run.readers--
		run.idleSince = b.now()
	}
}

// Sweep cancels runs whose answers have had no reader for too long, drops expired
// answers and those above the size limit, and removes expired locks and records of
// rejected and dropped requests.
func (b *Book) Sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, run := range b.runsByID {
		if run.finishedAt.IsZero() && run.readers == 0 && now.Sub(run.idleSince) > b.unreadTimeout(run) {
			run.cancel()
		}
	}
	b.dropExpiredRuns(now)
	b.enforceByteLimit()
	b.expireEntries(b.rejected, now)
	b.expireEntries(b.dropped, now)
	b.expireLocks(now)
}

func (b *Book) unreadTimeout(run *Run) time.Duration {
	if run.KeyHash != "" {
		return b.settings.KeyedPatience
	}
	return b.settings.Patience
}

func (b *Book) heldBytes() int64 {
	var total int64
	for _, run := range b.runsByID {
		total += int64(run.Answer.Len())
	}
	return total
}

func (b *Book) dropExpiredRuns(now time.Time) {
	for _, run := range b.runsByID {
		life := b.settings.Life
		if run.KeyHash != "" {
			life = b.settings.KeyedLife
		}
		if !run.finishedAt.IsZero() && run.readers == 0 && now.Sub(run.finishedAt) > life {
			b.dropRun(run)
		}
	}
}

// enforceByteLimit drops the oldest finished answers until the stored bytes are
// within the limit.
func (b *Book) enforceByteLimit() {
	for total := b.heldBytes(); total > b.settings.Bytes; {
		oldest := b.oldestFinished()
		if oldest == nil {
			return
		}
		total -= int64(oldest.Answer.Len())
		b.dropRun(oldest)
	}
}

func (b *Book) oldestFinished() *Run {
	var oldest *Run
	for _, run := range b.runsByID {
		if run.finishedAt.IsZero() || run.readers > 0 {
			continue
		}
		if oldest == nil || run.finishedAt.Before(oldest.finishedAt) {
			oldest = run
		}
	}
	return oldest
}

// hasOrHadRun reports whether a request ID or key hash has a run or had one that was
// dropped.
func (b *Book) hasOrHadRun(id string, runs map[string]*Run) bool {
	_, dropped := b.dropped[id]
	_, held := runs[id]
	return dropped || held
}

func (b *Book) expireEntries(entries map[string]time.Time, now time.Time) {
	for id, addedAt := range entries {
		if now.Sub(addedAt) > b.settings.KeyedLife {
			delete(entries, id)
		}
	}
}

func (b *Book) dropRun(run *Run) {
	now := b.now()
	b.dropped[run.RequestID] = now
	if run.KeyHash != "" {
		b.dropped[run.KeyHash] = now
	}
	delete(b.runsByID, run.RequestID)
	if b.runsByKey[run.KeyHash] == run {
		delete(b.runsByKey, run.KeyHash)
	}
}
