package acaciarun

import (
	"context"
	"sync"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

type (
	// Book holds the runs of one agent. It is safe for concurrent use.
	Book struct {
		settings Settings
		now      func() time.Time

		mu         sync.Mutex
		runs       map[string]*Run
		keys       map[string]*Run
		tombstones map[string]time.Time
		// dropped holds the requests and keys whose runs are no longer kept, so
		// that nobody is told that they never ran.
		dropped map[string]time.Time
		locks   map[string]lock
	}

	// Settings bound a book.
	Settings struct {
		// KeyedLife is how long the answer of a request with an idempotency key is
		// kept after its end.
		KeyedLife time.Duration
		// Life is how long any other answer is kept.
		Life time.Duration
		// Bytes bounds the finished answers.
		Bytes int64
		// Window is how many bytes of an answer without a key wait for the caller.
		Window int
		// Kept is how many bytes that were sent of such an answer stay; it is at
		// least what can be on the way to the entry.
		Kept int
		// Patience is how long a run goes on while nobody reads its answer;
		// KeyedPatience holds for requests with an idempotency key, whose caller may
		// come back.
		Patience      time.Duration
		KeyedPatience time.Duration
	}

	// Run is one request at the endpoint.
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
		idle      time.Time
		finished  time.Time
	}
)

// NewBook returns an empty book.
func NewBook(settings Settings, now func() time.Time) *Book {
	return &Book{
		settings:   settings,
		now:        now,
		runs:       map[string]*Run{},
		keys:       map[string]*Run{},
		tombstones: map[string]time.Time{},
		dropped:    map[string]time.Time{},
		locks:      map[string]lock{},
	}
}

// Begin enters a run unless its request was refused for good or has a run.
func (b *Book) Begin(requestID, keyHash, entry string, grant uint64, cancel context.CancelFunc) (*Run, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, refused := b.tombstones[requestID]; refused {
		return nil, false
	}
	if old := b.runs[requestID]; old != nil && old.takenBack() {
		b.remove(old)
		delete(b.dropped, requestID)
	}
	if b.ran(requestID, b.runs) || keyHash != "" && (b.ran(keyHash, b.keys) || b.lockedFor(keyHash, requestID)) {
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
		idle:      b.now(),
	}
	b.runs[requestID] = run
	if keyHash != "" {
		b.keys[keyHash] = run
	}
	return run, true
}

// takenBack reports whether the run ended before its first token, so that its request
// may come again.
func (r *Run) takenBack() bool {
	return r.Answer.Code() == acaciaroute.CodeTakenBack
}

// Forget removes a run that turned out not to have reached the endpoint and
// refuses the request for good.
func (b *Book) Forget(run *Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(run)
	delete(b.dropped, run.RequestID)
	delete(b.dropped, run.KeyHash)
	b.tombstones[run.RequestID] = b.now()
}

// End notes that the endpoint is done with a run.
func (b *Book) End(run *Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	run.finished = b.now()
}

// Deliver notes that a reader has had the whole answer.
func (b *Book) Deliver(run *Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	run.delivered = true
}

// Delivered reports whether every answer has been read to its end and no reader
// is left.
func (b *Book) Delivered() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, run := range b.runs {
		if run.readers > 0 || run.finished.IsZero() || !run.delivered && b.now().Sub(run.idle) < undeliveredPatience {
			return false
		}
	}
	return true
}

// undeliveredPatience is how long a stopping agent waits for a reader of an
// answer that nobody has read to its end.
const undeliveredPatience = 10 * time.Second

// Find returns the run of a request, or nil.
func (b *Book) Find(requestID string) *Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[requestID]
}

// FindKey returns the run of an idempotency key, or nil.
func (b *Book) FindKey(keyHash string) *Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.keys[keyHash]
}

// KeyDropped reports whether a key had a run whose answer is no longer kept.
func (b *Book) KeyDropped(keyHash string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, dropped := b.dropped[keyHash]
	return dropped
}

// Settle returns the state of a request. One that has no run is refused for
// good, so that RunNever stays true.
func (b *Book) Settle(requestID string) acaciawire.RunState {
	b.mu.Lock()
	defer b.mu.Unlock()
	run, ok := b.runs[requestID]
	switch {
	case !ok && b.ran(requestID, b.runs):
		return acaciawire.RunFinished
	case !ok:
		b.tombstones[requestID] = b.now()
		return acaciawire.RunNever
	case run.Answer.Finished():
		return acaciawire.RunFinished
	}
	return acaciawire.RunRunning
}

// Cancel ends a run's work at the endpoint.
func (b *Book) Cancel(requestID string) {
	if run := b.Find(requestID); run != nil {
		run.cancel()
	}
}

// AddReader notes that a process reads the answer; the returned function ends
// it.
func (b *Book) AddReader(run *Run) func() {
	b.mu.Lock()
	defer b.mu.Unlock()
	run.readers++
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		run.readers--
		run.idle = b.now()
	}
}

// Sweep cancels runs that nobody has read for long and drops old answers.
func (b *Book) Sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, run := range b.runs {
		if run.finished.IsZero() && run.readers == 0 && now.Sub(run.idle) > b.patience(run) {
			run.cancel()
		}
	}
	b.dropOld(now)
	b.dropLarge()
	b.expire(b.tombstones, now)
	b.expire(b.dropped, now)
	b.expireLocks(now)
}

func (b *Book) patience(run *Run) time.Duration {
	if run.KeyHash != "" {
		return b.settings.KeyedPatience
	}
	return b.settings.Patience
}

func (b *Book) bytes() int64 {
	var total int64
	for _, run := range b.runs {
		total += int64(run.Answer.Len())
	}
	return total
}

func (b *Book) dropOld(now time.Time) {
	for _, run := range b.runs {
		life := b.settings.Life
		if run.KeyHash != "" {
			life = b.settings.KeyedLife
		}
		if !run.finished.IsZero() && run.readers == 0 && now.Sub(run.finished) > life {
			b.remove(run)
		}
	}
}

// dropLarge drops the oldest finished answers while too many bytes are held.
func (b *Book) dropLarge() {
	for total := b.bytes(); total > b.settings.Bytes; {
		oldest := b.oldestFinished()
		if oldest == nil {
			return
		}
		total -= int64(oldest.Answer.Len())
		b.remove(oldest)
	}
}

func (b *Book) oldestFinished() *Run {
	var oldest *Run
	for _, run := range b.runs {
		if run.finished.IsZero() || run.readers > 0 {
			continue
		}
		if oldest == nil || run.finished.Before(oldest.finished) {
			oldest = run
		}
	}
	return oldest
}

// ran reports whether a request or key has a run or had one that was dropped.
func (b *Book) ran(name string, runs map[string]*Run) bool {
	_, dropped := b.dropped[name]
	_, held := runs[name]
	return dropped || held
}

func (b *Book) expire(marks map[string]time.Time, now time.Time) {
	for name, at := range marks {
		if now.Sub(at) > b.settings.KeyedLife {
			delete(marks, name)
		}
	}
}

func (b *Book) remove(run *Run) {
	now := b.now()
	b.dropped[run.RequestID] = now
	if run.KeyHash != "" {
		b.dropped[run.KeyHash] = now
	}
	delete(b.runs, run.RequestID)
	if b.keys[run.KeyHash] == run {
		delete(b.keys, run.KeyHash)
	}
}
