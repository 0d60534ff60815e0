package acaciaexperiment

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute/acaciachoice"
)

// playReturns plays a scenario in which callers come back by a rule.
func playReturns(workload Workload, scenario Scenario, rule func(*rand.Rand) acaciachoice.Returns) []CallerMeasures {
	scenario.Returns = rule
	return MeasureCallers(Play(workload, scenario, Contenders[0], seed), Warmup, Length)
}

// Callers who come back by the agents' word alone ask three times as often as there is
// use in it, and take places from those who ask for the first time.
func TestReturnScheduleHasCallersAskLessOftenAndServesThemAsWell(t *testing.T) {
	const (
		// leastServed allows for callers whose patience ends between two times.
		leastServed = 0.98
		// least is what a share may fall by from one run to the other by chance.
		least = 0.995
	)
	for _, scenario := range Scenarios[1:3] {
		t.Run(scenario.Name, func(t *testing.T) {
			t.Parallel()
			plain := playReturns(DalaShred, scenario, acaciachoice.NewReturnsByWait)
			schedule := playReturns(DalaShred, scenario, acaciachoice.NewReturnSchedule)
			last := len(schedule) - 1
			for class, got := range schedule {
				t.Logf("%s: at once %.3f and %.3f, in the end %.3f and %.3f, tries %.2f and %.2f, p90 %s and %s", got.Class,
					plain[class].FirstTry, got.FirstTry, plain[class].Served, got.Served, plain[class].Tries, got.Tries, plain[class].Ninetieth, got.Ninetieth)
				assert.Check(t, got.FirstTry >= least*plain[class].FirstTry, got.Class)
				assert.Check(t, got.Served >= leastServed*plain[class].Served, got.Class)
			}
			assert.Check(t, schedule[last].Tries < plain[last].Tries)
			assert.Check(t, schedule[last].FirstTry > plain[last].FirstTry)
		})
	}
}
