package acaciaevent

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A fixed seed gives the same verdict on every run; -rapid.seed chooses another.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

// Times of day that step by up to 5 s either way and drift apart.
func TestStampsFollowMessagesThoughClocksStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const processes = 3
		real := time.Unix(1_800_000_000, 0)
		var offsets [processes]time.Duration
		var clocks [processes]*Clock
		var newest [processes]Stamp
		for i := range clocks {
			clocks[i] = NewClock(func() time.Time { return real.Add(offsets[i]) })
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			from := rapid.IntRange(0, processes-1).Draw(t, "from")
			to := rapid.IntRange(0, processes-1).Draw(t, "to")
			offsets[from] += time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "step_ms")) * time.Millisecond
			real = real.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pass_ms")) * time.Millisecond)
			sent := clocks[from].Next()
			assert.Check(t, sent > newest[from], "a process's stamps do not rise")
			newest[from] = sent
			clocks[to].Observe(sent)
			next := clocks[to].Next()
			assert.Check(t, next > sent, "a stamp after a message's arrival is not higher than the message's")
			newest[to] = next
		}
	})
}
