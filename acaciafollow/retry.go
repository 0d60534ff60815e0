package acaciafollow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaretry"
)

const (
	// MeanRetryDelay is the mean of the random delay after the first failed call of the store. It and
	// MaxMeanRetryDelay are short because the store's return must be noticed well within the bound of a configuration.
	MeanRetryDelay = 150 * time.Millisecond
	// MaxMeanRetryDelay is the mean after several failures.
	MaxMeanRetryDelay = 600 * time.Millisecond
)

// NewRetries returns when failed calls of the store are repeated by all readers of a process.
func NewRetries() *acaciaretry.Schedule {
	return acaciaretry.New(retrySettings())
}

func retrySettings() acaciaretry.Settings {
	return acaciaretry.Settings{First: MeanRetryDelay, Max: MaxMeanRetryDelay, Random: rand.Float64}
}

// AwaitRetry waits until a failed call of the store that began at a time is to be repeated, or ctx ends.
func AwaitRetry(ctx context.Context, caller *acaciaretry.Caller, began time.Time) {
	delay, recovered := caller.Failed(time.Since(began))
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-recovered:
	case <-ctx.Done():
	}
}
