package acaciachoice

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Load pattern: an overload refuses many callers of a class within a second.
func TestScheduledRetriesAreOrderedAndSpread(t *testing.T) {
	const (
		refused = 50
		rate    = 10
	)
	now := time.Unix(1000, 0)
	schedule := NewScheduledRetry(rand.New(rand.NewPCG(1, 1)))
	for range 30 {
		for range rate {
			schedule.RecordGrant(now, "brief")
		}
		now = now.Add(time.Second)
	}
	var retryTimes []time.Time
	for range refused {
		after := schedule.RetryAfter(now, Refusal{Class: "brief", Slack: time.Minute})
		retryTimes = append(retryTimes, now.Add(after))
	}
	spacing := time.Second / rate
	for i := 2; i < refused; i++ {
		assert.Check(t, retryTimes[i].After(retryTimes[i-2]), "caller %d retries before an earlier caller", i)
	}
	spread := retryTimes[refused-1].Sub(retryTimes[0])
	assert.Check(t, spread > (refused-2)*spacing/2 && spread < 2*refused*spacing, "%s", spread)
	// The schedule of another class is not affected.
	other := schedule.RetryAfter(now, Refusal{Class: "audit", Slack: time.Minute})
	assert.Check(t, other < minRetryAfter+2*time.Second+time.Second/2, "%s", other)
}

func TestRetryTimesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedule := NewScheduledRetry(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause_ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "granted") {
				schedule.RecordGrant(now, "c")
				continue
			}
			refusal := Refusal{
				Class: "c",
				Slack: time.Duration(rapid.IntRange(-100, 60_000).Draw(t, "slack_ms")) * time.Millisecond,
				Wait:  time.Duration(rapid.IntRange(0, 300_000).Draw(t, "wait_ms")) * time.Millisecond,
			}
			if rapid.Bool().Draw(t, "no_endpoint") {
				refusal.NoEndpoint = true
				after := schedule.RetryAfter(now, refusal)
				assert.Check(t, after >= noEndpointRetryAfter && after <= 2*noEndpointRetryAfter, "%s", after)
				continue
			}
			after := schedule.RetryAfter(now, refusal)
			assert.Check(t, after >= minRetryAfter && after <= maxRetryAfter, "%s", after)
			assert.Check(t, after <= max(maxSlackMultiple*refusal.Slack, refusal.Wait, minRetryAfter), "%s for %+v", after, refusal)
		}
	})
}

// Guards against a loop over every window of a long period without grants.
func TestScheduleSkipsLongIdlePeriod(t *testing.T) {
	schedule := NewScheduledRetry(rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1000, 0)
	schedule.RecordGrant(now, "c")
	now = now.Add(100 * 365 * 24 * time.Hour)
	after := schedule.RetryAfter(now, Refusal{Class: "c", Slack: time.Second})
	assert.Check(t, after >= minRetryAfter && after <= maxSlackMultiple*time.Second, "%s", after)
}
