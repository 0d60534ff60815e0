package acaciarun

import (
	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciamemory"
)

// errGaveWay is the result of an answer that was dropped for the memory of others.
var errGaveWay = &acaciaroute.Error{Code: acaciaroute.CodeAnswerCut, Detail: "answers hold too much memory, and this one gave way"}

// GaveWay reports whether the answer was dropped for the memory of others.
func (a *Answer) GaveWay() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gaveWay
}

// heldBytes returns what the answer holds, by the capacity of its buffer.
func (a *Answer) heldBytes() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.data.capacity
}

func (a *Answer) reportSize() {
	if a.onSize != nil {
		a.onSize()
	}
}

// stopRetaining makes an answer that is retained whole keep only what its reader needs, as one without a key does, and
// discards the rest. It reports false, and changes nothing, if the answer is none or its reader is further behind than one
// may be.
func (a *Answer) stopRetaining(maxUnreadBytes, replayBytes int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.maxUnreadBytes > 0 || a.unreadBytes() >= maxUnreadBytes || a.furthestRead == 0 {
		return false
	}
	a.maxUnreadBytes, a.replayBytes = maxUnreadBytes, replayBytes
	a.discardReplayed()
	return true
}

// drop discards what the answer holds. Its readers get CodeAnswerCut.
func (a *Answer) drop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gaveWay = true
	a.base = a.endOffset()
	a.data = buffer{}
	a.notifyWaiters()
}

// discardReplayed discards bytes that lie more than replayBytes behind the furthest reader. It must be called with the lock
// held.
func (a *Answer) discardReplayed() {
	excess := max(0, a.furthestRead-int64(a.replayBytes)-a.base)
	a.data.discard(int(excess))
	a.base += excess
}

// Memory returns the memory that the answers hold.
func (s *Store) Memory() *acaciamemory.Answers {
	return s.answers
}

// BeginSend records that a part of the run's answer is sent to a reader.
func (s *Store) BeginSend(run *Run) {
	run.held.Load().Deliver(s.now())
}

// EndSend records that a reader has taken what was sent.
func (s *Store) EndSend(run *Run) {
	run.held.Load().Delivered()
}

// holdMemory registers the run's answer at the memory for answers.
func (s *Store) holdMemory(run *Run) {
	run.held.Store(s.answers.Hold(func(error) {
		s.evictedMu.Lock()
		defer s.evictedMu.Unlock()
		s.evicted = append(s.evicted, run)
	}))
}

// updateSize records the size of the run's answer, and makes answers give way if all together are too large.
func (s *Store) updateSize(run *Run) {
	s.recordSize(run)
	for evicted := s.takeEvicted(); evicted != nil; evicted = s.takeEvicted() {
		s.giveWay(evicted)
	}
}

func (s *Store) recordSize(run *Run) {
	run.sizeMu.Lock()
	defer run.sizeMu.Unlock()
	run.held.Load().Resize(run.Answer.heldBytes(), s.now())
}

// takeEvicted returns a run whose answer must give way, nil if there is none.
func (s *Store) takeEvicted() *Run {
	s.evictedMu.Lock()
	defer s.evictedMu.Unlock()
	if len(s.evicted) == 0 {
		return nil
	}
	run := s.evicted[0]
	s.evicted = s.evicted[1:]
	return run
}

// giveWay makes the answer of a run hold less: if its reader keeps up, it is no longer kept for a later one; otherwise it
// ends. A request whose answer is gone counts as one that has run.
func (s *Store) giveWay(run *Run) {
	if s.stopRetaining(run) {
		s.recordSize(run)
		return
	}
	run.Answer.drop()
	run.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !run.finishedAt.IsZero() && s.runsByID[run.RequestID] == run {
		s.dropRun(run)
	}
}

// stopRetaining makes the run's answer keep only what its reader needs, and registers it anew. It reports false if that is
// not possible.
func (s *Store) stopRetaining(run *Run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runsByID[run.RequestID] != run || run.readers == 0 || !run.Answer.stopRetaining(s.settings.MaxUnreadBytes, s.settings.ReplayBytes) {
		return false
	}
	s.holdMemory(run)
	return true
}
