package acaciarun

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciamemory"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

type (
	// Store stores the runs of one agent and their answers. It is safe for
	// concurrent use.
	Store struct {
		settings Settings
		now      func() time.Time
		answers  *acaciamemory.Answers

		evictedMu sync.Mutex
		// evicted holds the runs whose answers must give way.
		evicted []*Run

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

	// Settings set the retention times and size limits of a Store.
	Settings struct {
		// KeyedRetention is how long the answer of a request with an idempotency key
		// is retained after its run ends. Locks, and the records of rejected and
		// dropped requests, are kept for the same time.
		KeyedRetention time.Duration
		// Retention is how long the answer of a request without a key is retained.
		Retention time.Duration
		// MaxBytes limits the total size of the answers, also of those of active runs; zero
		// for no limit. Above it, those give way that have had no reader for longest.
		MaxBytes int64
		// MaxUnreadBytes limits the unread bytes of an answer without a key.
		MaxUnreadBytes int
		// ReplayBytes is how many bytes of such an answer are retained after they
		// were read. It must be at least the number of bytes that can be in flight
		// to the entry.
		ReplayBytes int
		// UnreadTimeout is how long a run continues while no reader is connected.
		// KeyedUnreadTimeout applies to requests with an idempotency key, whose
		// caller may reconnect.
		UnreadTimeout      time.Duration
		KeyedUnreadTimeout time.Duration
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

		sizeMu sync.Mutex
		// held is what the answer holds of the memory for answers.
		held atomic.Pointer[acaciamemory.Answer]
	}
)

// NewStore returns an empty store.
func NewStore(settings Settings, now func() time.Time) *Store {
	return &Store{
		settings:  settings,
		now:       now,
		answers:   acaciamemory.NewAnswers(settings.MaxBytes),
		runsByID:  map[string]*Run{},
		runsByKey: map[string]*Run{},
		rejected:  map[string]time.Time{},
		dropped:   map[string]time.Time{},
		locks:     map[string]lock{},
	}
}

// Register registers a run and reports whether it may start. It may not if the
// request was permanently rejected, if its request ID or key has or had a run, or if
// another request holds the lock on the key. An earlier run of the request ID that
// ended with CodeTakenBack does not count.
func (s *Store) Register(requestID, keyHash, entry string, grant uint64, cancel context.CancelFunc) (*Run, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, rejected := s.rejected[requestID]; rejected {
		return nil, false
	}
	if old := s.runsByID[requestID]; old != nil && old.takenBack() {
		s.dropRun(old)
		delete(s.dropped, requestID)
	}
	if s.hasOrHadRun(requestID, s.runsByID) || keyHash != "" && (s.hasOrHadRun(keyHash, s.runsByKey) || s.lockedByOther(keyHash, requestID)) {
		return nil, false
	}
	maxUnreadBytes := s.settings.MaxUnreadBytes
	if keyHash != "" {
		maxUnreadBytes = 0
	}
	run := &Run{
		RequestID: requestID,
		KeyHash:   keyHash,
		Entry:     entry,
		Grant:     grant,
		Answer:    NewAnswer(maxUnreadBytes, s.settings.ReplayBytes),
		cancel:    cancel,
		idleSince: s.now(),
	}
	run.Answer.onSize = func() { s.updateSize(run) }
	s.holdMemory(run)
	s.BeginSend(run)
	s.runsByID[requestID] = run
	if keyHash != "" {
		s.runsByKey[keyHash] = run
	}
	return run, true
}

// takenBack reports whether the run was ended before its first token, so that its
// request may run again.
func (r *Run) takenBack() bool {
	return r.Answer.Code() == acaciaroute.CodeTakenBack
}

// RejectUnstarted removes a run that did not reach the endpoint and permanently
// rejects its request.
func (s *Store) RejectUnstarted(run *Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropRun(run)
	delete(s.dropped, run.RequestID)
	delete(s.dropped, run.KeyHash)
	s.rejected[run.RequestID] = s.now()
}

// MarkFinished records that the endpoint has finished a run.
func (s *Store) MarkFinished(run *Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.finishedAt = s.now()
	if run.Answer.GaveWay() {
		s.dropRun(run)
	}
}

// MarkDelivered records that a reader has received the complete answer.
func (s *Store) MarkDelivered(run *Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.delivered = true
}

// AllDelivered reports whether no run is active, no reader is connected, and every
// answer was read to its end or has had no reader for undeliveredTimeout.
func (s *Store) AllDelivered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, run := range s.runsByID {
		if run.readers > 0 || run.finishedAt.IsZero() || !run.delivered && s.now().Sub(run.idleSince) < undeliveredTimeout {
			return false
		}
	}
	return true
}

// undeliveredTimeout is how long a stopping agent waits for a reader of an answer
// that has not been read to its end.
const undeliveredTimeout = 10 * time.Second

// Find returns the run of a request, or nil.
func (s *Store) Find(requestID string) *Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runsByID[requestID]
}

// FindKey returns the run of an idempotency key, or nil.
func (s *Store) FindKey(keyHash string) *Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runsByKey[keyHash]
}

// KeyDropped reports whether a key had a run whose answer is no longer stored.
func (s *Store) KeyDropped(keyHash string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, dropped := s.dropped[keyHash]
	return dropped
}

// Settle returns the state of a request. A request that never had a run is
// permanently rejected, so that RunWillNotRun remains true.
func (s *Store) Settle(requestID string) acaciawire.RunState {
	s.mu.Lock()
	defer s.mu.Unlock()
	run, ok := s.runsByID[requestID]
	switch {
	case !ok && s.hasOrHadRun(requestID, s.runsByID):
		return acaciawire.RunFinished
	case !ok:
		s.rejected[requestID] = s.now()
		return acaciawire.RunWillNotRun
	case run.Answer.Finished():
		return acaciawire.RunFinished
	}
	return acaciawire.RunRunning
}

// Cancel cancels the execution of a request at the endpoint.
func (s *Store) Cancel(requestID string) {
	if run := s.Find(requestID); run != nil {
		run.cancel()
	}
}

// AddReader registers a reader of the run's answer. The returned function removes
// it.
func (s *Store) AddReader(run *Run) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.readers++
	run.held.Load().Delivered()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		run.readers--
		run.idleSince = s.now()
		if run.readers == 0 {
			run.held.Load().Deliver(s.now())
		}
	}
}

// Sweep cancels runs whose answers have had no reader for too long, drops expired
// answers, and removes expired locks and records of rejected and dropped requests.
func (s *Store) Sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, run := range s.runsByID {
		if run.finishedAt.IsZero() && run.readers == 0 && now.Sub(run.idleSince) > s.unreadTimeout(run) {
			run.cancel()
		}
	}
	s.dropExpiredRuns(now)
	s.expireEntries(s.rejected, now)
	s.expireEntries(s.dropped, now)
	s.expireLocks(now)
}

func (s *Store) unreadTimeout(run *Run) time.Duration {
	if run.KeyHash != "" {
		return s.settings.KeyedUnreadTimeout
	}
	return s.settings.UnreadTimeout
}

func (s *Store) dropExpiredRuns(now time.Time) {
	for _, run := range s.runsByID {
		retention := s.settings.Retention
		if run.KeyHash != "" {
			retention = s.settings.KeyedRetention
		}
		if !run.finishedAt.IsZero() && run.readers == 0 && now.Sub(run.finishedAt) > retention {
			s.dropRun(run)
		}
	}
}

// hasOrHadRun reports whether a request ID or key hash has a run or had one that was
// dropped.
func (s *Store) hasOrHadRun(id string, runs map[string]*Run) bool {
	_, dropped := s.dropped[id]
	_, held := runs[id]
	return dropped || held
}

func (s *Store) expireEntries(entries map[string]time.Time, now time.Time) {
	for id, addedAt := range entries {
		if now.Sub(addedAt) > s.settings.KeyedRetention {
			delete(entries, id)
		}
	}
}

func (s *Store) dropRun(run *Run) {
	now := s.now()
	run.held.Load().Release()
	s.dropped[run.RequestID] = now
	if run.KeyHash != "" {
		s.dropped[run.KeyHash] = now
	}
	delete(s.runsByID, run.RequestID)
	if s.runsByKey[run.KeyHash] == run {
		delete(s.runsByKey, run.KeyHash)
	}
}
