package acaciastandin

import (
	"context"
	"sync"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

// WeightStore is an in-memory weight store that allows one transfer to start in each
// interval. It implements acaciaroute.WeightStore.
type WeightStore struct {
	interval time.Duration

	mu        sync.Mutex
	nextStart time.Time
}

// NewWeightStore returns a store whose first transfer may start at once.
func NewWeightStore(interval time.Duration) *WeightStore {
	return &WeightStore{interval: interval}
}

// Reserve implements acaciaroute.WeightStore.
func (s *WeightStore) Reserve(_ context.Context, model string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if wait := s.nextStart.Sub(now); wait > 0 {
		return &acaciaroute.Error{
			Code:       acaciaroute.CodeStoreBusy,
			Detail:     "the weights of " + model + " cannot be read yet",
			RetryAfter: wait,
		}
	}
	s.nextStart = now.Add(s.interval)
	return nil
}
