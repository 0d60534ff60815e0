package acaciaagent

import (
	"sync"

	"github.com/acaciaroute/acaciaroute"
)

// mailbox holds the newest offer for one stream, so that a slow entry never
// holds up the loop. A grant or refusal is never replaced.
type mailbox struct {
	mu     sync.Mutex
	offer  *acaciaroute.Offer
	signal chan struct{}
}

func newMailbox() *mailbox {
	return &mailbox{signal: make(chan struct{}, 1)}
}

// put replaces the offer unless a final one waits.
func (m *mailbox) put(offer acaciaroute.Offer) {
	m.mu.Lock()
	if m.offer == nil || !final(m.offer.Kind) || offer.Kind == acaciaroute.OfferRefused {
		m.offer = &offer
	}
	m.mu.Unlock()
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// take returns the offer that waits, or nil.
func (m *mailbox) take() *acaciaroute.Offer {
	m.mu.Lock()
	defer m.mu.Unlock()
	offer := m.offer
	m.offer = nil
	return offer
}

func final(kind acaciaroute.OfferKind) bool {
	return kind == acaciaroute.OfferGranted || kind == acaciaroute.OfferRefused
}
