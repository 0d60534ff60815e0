package acaciabatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const target = 69 * time.Millisecond

// engine simulates an engine whose steps take base + slope × running, times the slowdown.
type engine struct {
	estimator *Estimator
	now       time.Time
	slowdown  float64
}

// run simulates a number of steps with the batch at its limit and returns the longest step.
func (e *engine) run(steps int) (worst time.Duration) {
	for range steps {
		running := e.estimator.Limit(target)
		step := time.Duration(float64(8*time.Millisecond+time.Duration(running)*time.Millisecond) * e.slowdown)
		e.now = e.now.Add(step)
		e.estimator.ObserveGap(e.now, step, running, false)
		worst = max(worst, step)
	}
	return worst
}

func TestLimitConvergesFromObservedGaps(t *testing.T) {
	e := &engine{estimator: New(), now: time.Unix(0, 0), slowdown: 1}
	worst := e.run(2000)
	limit := e.estimator.Limit(target)
	assert.Check(t, worst <= target, "a step took %s", worst)
	// The largest batch within the target is 61; the limit aims at 0.9 of the target.
	assert.Check(t, limit >= 48 && limit <= 61, "limit %d", limit)
}

func TestStragglerIsDetectedWithinFewTokensAndRecovers(t *testing.T) {
	e := &engine{estimator: New(), now: time.Unix(0, 0), slowdown: 1}
	e.run(2000)
	before := e.estimator.Limit(target)
	e.slowdown = 10
	e.run(4)
	assert.Check(t, e.estimator.Straggling())
	assert.Check(t, e.estimator.Limit(target) <= before/4, "limit %d, before the slowdown %d", e.estimator.Limit(target), before)
	e.slowdown = 1
	e.run(25)
	assert.Check(t, !e.estimator.Straggling())
	assert.Check(t, e.estimator.Limit(target) >= before/2, "limit %d, before the slowdown %d", e.estimator.Limit(target), before)
}

func TestSlowdownDecaysWhileIdle(t *testing.T) {
	e := &engine{estimator: New(), now: time.Unix(0, 0), slowdown: 10}
	e.run(5)
	assert.Check(t, e.estimator.Straggling())
	for range 5 {
		e.now = e.now.Add(2 * idleDecayInterval)
		e.estimator.ObserveIdle(e.now)
	}
	assert.Check(t, !e.estimator.Straggling())
}

// The first tokens of two prompts that were prefilled in one step arrive within
// microseconds of each other, which must not count as a prefill rate of millions of tokens
// per second.
func TestPrefillRateWithPromptsPrefilledTogether(t *testing.T) {
	e := New()
	for range 100 {
		e.ObservePrefill(500, 100*time.Millisecond)
		e.ObservePrefill(500, 50*time.Microsecond)
	}
	assert.Check(t, e.PrefillRate() > 8000 && e.PrefillRate() < 12000, "prefill rate %.0f tokens/s", e.PrefillRate())
}
