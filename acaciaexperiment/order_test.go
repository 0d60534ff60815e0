package acaciaexperiment

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/acaciaroute/acaciaroute/acaciacheck"
)

// A fixed seed gives the same result on every run; -rapid.seed chooses another. A case
// takes about a second, so the number of cases and the time to shrink them are small.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "40")
	_ = flag.Set("rapid.shrinktime", "10s")
}

// randomFault is a fault that begins at a random time.
type randomFault struct {
	at       time.Duration
	kind     int
	endpoint int
	duration time.Duration
}

func drawFault(arrivalPeriod time.Duration) func(*rapid.T) randomFault {
	return func(t *rapid.T) randomFault {
		return randomFault{
			at:       time.Duration(rapid.IntRange(0, int(arrivalPeriod.Milliseconds())).Draw(t, "at_ms")) * time.Millisecond,
			kind:     rapid.IntRange(0, 2).Draw(t, "kind"),
			endpoint: rapid.IntRange(0, 9).Draw(t, "endpoint"),
			duration: time.Duration(rapid.IntRange(100, 5000).Draw(t, "duration_ms")) * time.Millisecond,
		}
	}
}

func (f randomFault) inject(s *simulation) {
	e := s.endpointList[f.endpoint]
	switch f.kind {
	case 0:
		e.engine.SetSlowdown(1 / stragglerSpeed)
		s.loop.After(f.duration, func() { e.engine.SetSlowdown(1) })
	case 1:
		e.crash(f.duration)
	default:
		s.network.linkBlocked = true
		s.loop.After(f.duration, func() { s.network.linkBlocked = false })
	}
}

func TestShedOrderHoldsInRandomScenarios(t *testing.T) {
	const arrivalPeriod = 8 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		loadBefore := rapid.Float64Range(0.3, 2).Draw(t, "load_before")
		loadAfter := rapid.Float64Range(0.3, 5).Draw(t, "load_after")
		loadChangeAt := time.Duration(rapid.IntRange(0, int(arrivalPeriod.Milliseconds())).Draw(t, "load_change_at_ms")) * time.Millisecond
		faults := rapid.SliceOfN(rapid.Custom(drawFault(arrivalPeriod)), 0, 6).Draw(t, "faults")
		scenario := Scenario{
			Name:          "random",
			ArrivalPeriod: arrivalPeriod,
			Load: func(at time.Duration) float64 {
				if at < loadChangeAt {
					return loadBefore
				}
				return loadAfter
			},
			InjectFaults: func(s *simulation) {
				for _, fault := range faults {
					s.loop.After(fault.at, func() { fault.inject(s) })
				}
			},
		}
		run := Simulate(DalaShred, scenario, PolicyVariants[0], rapid.Uint64().Draw(t, "seed"))
		for _, violation := range acaciacheck.CheckOne(acaciacheck.ShedOrderInvariant, run.Events) {
			t.Error(violation)
		}
	})
}
