package acaciastandin

import (
	"context"
	"sync"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

// WeightStore is a weight store that lets one transfer begin in each interval. It
// implements acaciaroute.WeightStore.
type WeightStore struct {
	interval time.Duration

	mu   sync.Mutex
	next time.Time
}

// NewWeightStore returns a store that is free.
func NewWeightStore(interval time.Duration) *WeightStore {
	return &WeightStore{interval: interval}
}

// Reserve implements acaciaroute.WeightStore.
func (s *WeightStore) Reserve(_ context.Context, model string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if wait := s.next.Sub(now); wait > 0 {
		return &acaciaroute.Error{
			Code:       acaciaroute.CodeStoreBusy,
			Detail:     "the weights of " + model + " cannot be read yet",
			RetryAfter: wait,
		}
	}
	s.next = now.Add(s.interval)
	return nil
}
