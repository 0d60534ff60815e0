package acaciaagent

import (
	"sync"

	"github.com/acaciaroute/acaciaroute"
)

// offerMailbox holds the newest offer for one stream, so that a slow entry never blocks
// the loop. A grant is replaced only by a refusal, and a refusal only by another one.
type offerMailbox struct {
	mu     sync.Mutex
	offer  *acaciaroute.Offer
	signal chan struct{}
}

func newOfferMailbox() *offerMailbox {
	return &offerMailbox{signal: make(chan struct{}, 1)}
}

// put replaces the pending offer, except that only a refusal replaces a grant or refusal.
func (m *offerMailbox) put(offer acaciaroute.Offer) {
	m.mu.Lock()
	if m.offer == nil || !isFinal(m.offer.Kind) || offer.Kind == acaciaroute.OfferRefused {
		m.offer = &offer
	}
	m.mu.Unlock()
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// take removes and returns the pending offer, or returns nil if there is none.
func (m *offerMailbox) take() *acaciaroute.Offer {
	m.mu.Lock()
	defer m.mu.Unlock()
	offer := m.offer
	m.offer = nil
	return offer
}

// isFinal reports whether an offer of this kind is a grant or a refusal.
func isFinal(kind acaciaroute.OfferKind) bool {
	return kind == acaciaroute.OfferGranted || kind == acaciaroute.OfferRefused
}
