package acaciaevent

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A fixed seed makes the property tests reproducible; -rapid.seed overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

// Wall clocks that drift apart and step by up to 5 s in either direction must not make
// stamps decrease, neither within one process nor from a message's sender to its receiver.
func TestStampsRiseAcrossMessagesWhenClocksStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const processes = 3
		wallTime := time.Unix(1_800_000_000, 0)
		var offsets [processes]time.Duration
		var clocks [processes]*Clock
		var newest [processes]Stamp
		for i := range clocks {
			clocks[i] = NewClock(func() time.Time { return wallTime.Add(offsets[i]) })
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			from := rapid.IntRange(0, processes-1).Draw(t, "from")
			to := rapid.IntRange(0, processes-1).Draw(t, "to")
			offsets[from] += time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "step_ms")) * time.Millisecond
			wallTime = wallTime.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "elapsed_ms")) * time.Millisecond)
			sentStamp := clocks[from].Next()
			assert.Check(t, sentStamp > newest[from], "the stamps of a process do not increase")
			newest[from] = sentStamp
			clocks[to].Observe(sentStamp)
			nextStamp := clocks[to].Next()
			assert.Check(t, nextStamp > sentStamp, "a stamp issued after a message was received is not higher than the message's stamp")
			newest[to] = nextStamp
		}
	})
}
