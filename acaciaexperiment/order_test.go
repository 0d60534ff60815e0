package acaciaexperiment

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/acaciaroute/acaciaroute/acaciacheck"
)

// A fixed seed gives the same verdict on every run; -rapid.seed chooses another. A
// case takes about a second, so there are few, and little time to shrink them.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "40")
	_ = flag.Set("rapid.shrinktime", "10s")
}

// disturbance is one fault at a random time.
type disturbance struct {
	at       time.Duration
	kind     int
	endpoint int
	length   time.Duration
}

func drawDisturbance(length time.Duration) func(*rapid.T) disturbance {
	return func(t *rapid.T) disturbance {
		return disturbance{
			at:       time.Duration(rapid.IntRange(0, int(length.Milliseconds())).Draw(t, "at_ms")) * time.Millisecond,
			kind:     rapid.IntRange(0, 2).Draw(t, "kind"),
			endpoint: rapid.IntRange(0, 9).Draw(t, "endpoint"),
			length:   time.Duration(rapid.IntRange(100, 5000).Draw(t, "length_ms")) * time.Millisecond,
		}
	}
}

func (d disturbance) begin(w *world) {
	e := w.order[d.endpoint]
	switch d.kind {
	case 0:
		e.engine.SetSlowdown(1 / stragglePace)
		w.loop.After(d.length, func() { e.engine.SetSlowdown(1) })
	case 1:
		e.die(d.length)
	default:
		w.network.cut = true
		w.loop.After(d.length, func() { w.network.cut = false })
	}
}

func TestOrderOfSheddingHoldsInRandomScenarios(t *testing.T) {
	const length = 8 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		low := rapid.Float64Range(0.3, 2).Draw(t, "low")
		high := rapid.Float64Range(0.3, 5).Draw(t, "high")
		turn := time.Duration(rapid.IntRange(0, int(length.Milliseconds())).Draw(t, "turn_ms")) * time.Millisecond
		faults := rapid.SliceOfN(rapid.Custom(drawDisturbance(length)), 0, 6).Draw(t, "faults")
		scenario := Scenario{
			Name:   "random",
			Length: length,
			Rate: func(at time.Duration) float64 {
				if at < turn {
					return low
				}
				return high
			},
			Disturb: func(w *world) {
				for _, fault := range faults {
					w.loop.After(fault.at, func() { fault.begin(w) })
				}
			},
		}
		run := Play(DalaShred, scenario, Contenders[0], rapid.Uint64().Draw(t, "seed"))
		for _, violation := range acaciacheck.One(acaciacheck.ShedOrder, run.Events) {
			t.Error(violation)
		}
	})
}
