package acaciabatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const target = 69 * time.Millisecond

// engine is the simplest engine: a step takes base + slope x running.
type engine struct {
	learner  *Learner
	now      time.Time
	slowdown float64
}

func (e *engine) run(steps int) (worst time.Duration) {
	for range steps {
		running := e.learner.Limit(target)
		step := time.Duration(float64(8*time.Millisecond+time.Duration(running)*time.Millisecond) * e.slowdown)
		e.now = e.now.Add(step)
		e.learner.ObserveGap(e.now, step, running, false)
		worst = max(worst, step)
	}
	return worst
}

func TestLimitIsLearnedFromTokens(t *testing.T) {
	e := &engine{learner: New(), now: time.Unix(0, 0), slowdown: 1}
	worst := e.run(2000)
	limit := e.learner.Limit(target)
	assert.Check(t, worst <= target, "a step took %s", worst)
	// The most that fits is 61; the limit aims at 0.9 of the target.
	assert.Check(t, limit >= 48 && limit <= 61, "limit %d", limit)
}

func TestStragglerIsSeenWithinAFewTokensAndRecovers(t *testing.T) {
	e := &engine{learner: New(), now: time.Unix(0, 0), slowdown: 1}
	e.run(2000)
	before := e.learner.Limit(target)
	e.slowdown = 10
	e.run(4)
	assert.Check(t, e.learner.Straggling())
	assert.Check(t, e.learner.Limit(target) <= before/4, "limit %d of %d", e.learner.Limit(target), before)
	e.slowdown = 1
	e.run(25)
	assert.Check(t, !e.learner.Straggling())
	assert.Check(t, e.learner.Limit(target) >= before/2, "limit %d of %d", e.learner.Limit(target), before)
}

func TestIdleStragglerIsTriedAgain(t *testing.T) {
	e := &engine{learner: New(), now: time.Unix(0, 0), slowdown: 10}
	e.run(5)
	assert.Check(t, e.learner.Straggling())
	for range 5 {
		e.now = e.now.Add(2 * forgetInterval)
		e.learner.ObserveIdle(e.now)
	}
	assert.Check(t, !e.learner.Straggling())
}

// First tokens of two prompts that were prefilled together arrive within
// microseconds; this once looked like millions of tokens a second.
func TestPromptsPrefilledTogetherDoNotLookFast(t *testing.T) {
	l := New()
	for range 100 {
		l.ObservePrefill(500, 100*time.Millisecond)
		l.ObservePrefill(500, 50*time.Microsecond)
	}
	assert.Check(t, l.PrefillRate() > 8000 && l.PrefillRate() < 12000, "learned %.0f tokens/s", l.PrefillRate())
}
