package acaciagateway

import (
	"errors"
	"sync"
)

type (
	// answerMemory bounds the memory for the parts of answers that are held until more of them has come.
	// If an answer needs more than there is, the one that holds most gives way.
	//
	// Load pattern: endpoints answer many requests at once with bytes that don't end, while others
	// answer as usual.
	answerMemory struct {
		// limit is the most bytes that all answers may hold together; zero for no limit.
		limit int64

		mu      sync.Mutex
		held    int64
		answers map[*heldAnswer]bool
	}

	// heldAnswer is what the memory holds of one answer.
	heldAnswer struct {
		memory *answerMemory
		size   int64
		// evict ends the call, which must release the memory then.
		evict func(error)
	}
)

// answerMemoryShare is the share of the process's memory that answers may hold. The garbage that they leave
// needs several times as much.
const answerMemoryShare = 0.1

var errAnswerMemory = errors.New("the answers that endpoints have not ended need too much memory, and this one most of it")

func newAnswerMemory(processBytes int64) *answerMemory {
	return &answerMemory{limit: int64(answerMemoryShare * float64(processBytes)), answers: map[*heldAnswer]bool{}}
}

// hold registers an answer that holds nothing yet; release must be called when it ends.
func (m *answerMemory) hold(evict func(error)) *heldAnswer {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := &heldAnswer{memory: m, evict: evict}
	m.answers[a] = true
	return a
}

// resize records how many bytes the answer holds. While all together hold too much, the largest one is
// evicted.
func (a *heldAnswer) resize(size int) {
	m := a.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.answers[a] {
		return
	}
	m.held += int64(size) - a.size
	a.size = int64(size)
	for m.limit > 0 && m.held > m.limit {
		m.evictLargest()
	}
}

// release records that the answer holds nothing any more.
func (a *heldAnswer) release() {
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	a.memory.remove(a)
}

// evictLargest evicts the answer that holds most. It must be called with the lock held.
func (m *answerMemory) evictLargest() {
	var largest *heldAnswer
	for a := range m.answers {
		if largest == nil || a.size > largest.size {
			largest = a
		}
	}
	m.remove(largest)
	largest.evict(errAnswerMemory)
}

// remove forgets an answer. It must be called with the lock held.
func (m *answerMemory) remove(a *heldAnswer) {
	if m.answers[a] {
		delete(m.answers, a)
		m.held -= a.size
	}
}

// heldBytes returns how many bytes are held now.
func (m *answerMemory) heldBytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held
}
