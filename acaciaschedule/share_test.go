package acaciaschedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Load pattern: an urgent class keeps the only slot busy for 20 s while requests of a less
// urgent class wait, too. The less urgent class gets its guaranteed share, no more.
func TestLeastUrgentClassGetsItsGuaranteedShare(t *testing.T) {
	const share, hold, seconds = 0.1, 100 * time.Millisecond, 20
	for _, guaranteed := range []float64{0, share} {
		s := newScheduler()
		s.settings.GuaranteedShare = guaranteed
		addEndpoint(s, "e", "a", 1)
		served := map[string]int{}
		for i := range seconds * int(time.Second/hold) {
			now := start.Add(time.Duration(i) * hold)
			for rank, class := range []string{"urgent", "bulk"} {
				r := newRequest(fmt.Sprint(class, i), rank, now)
				r.Class, r.PromptTokens = class, 0
				s.Enqueue(r)
			}
			for _, decision := range s.DecideWaiting(now) {
				if decision.Endpoint != nil {
					served[decision.Request.Class]++
					s.Release(decision.Request, now.Add(hold))
				}
			}
		}
		total := served["urgent"] + served["bulk"]
		assert.Check(t, total > 190, "served %v", served)
		got := float64(served["bulk"]) / float64(total)
		assert.Check(t, got >= 0.9*guaranteed && got <= 1.5*guaranteed, "share %.3f, guaranteed %.2f", got, guaranteed)
	}
}
