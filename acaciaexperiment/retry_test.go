package acaciaexperiment

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute/acaciachoice"
)

// simulateRetries simulates a scenario in which refused callers retry by a rule.
func simulateRetries(workload Workload, scenario Scenario, rule func(*rand.Rand) acaciachoice.RetryRule) []CallerMeasures {
	scenario.RetryRule = rule
	return MeasureCallers(Simulate(workload, scenario, PolicyVariants[0], seed), Warmup, ArrivalPeriod)
}

// Guards against retries that cannot succeed: when Retry-After is only the wait that the
// agents expect, callers send requests three times as often as is useful, and take capacity
// from first attempts.
func TestScheduledRetryReducesRetriesAndKeepsGoodput(t *testing.T) {
	const (
		// minServedRatio allows for callers whose last retry would come after the time
		// that maxRetryMultiple allows under one of the rules.
		minServedRatio = 0.98
		// minServedAtOnceRatio allows for differences between two runs by chance.
		minServedAtOnceRatio = 0.995
	)
	for _, scenario := range Scenarios[1:3] {
		t.Run(scenario.Name, func(t *testing.T) {
			t.Parallel()
			byWait := simulateRetries(DalaShred, scenario, acaciachoice.NewExpectedWaitRetry)
			bySchedule := simulateRetries(DalaShred, scenario, acaciachoice.NewScheduledRetry)
			lowestClass := len(bySchedule) - 1
			for class, got := range bySchedule {
				t.Logf("%s, by wait and by schedule: served at once %.3f and %.3f, eventually %.3f and %.3f, attempts %.2f and %.2f, p90 first token %s and %s", got.Class,
					byWait[class].ServedAtOnce, got.ServedAtOnce, byWait[class].ServedEventually, got.ServedEventually, byWait[class].MeanAttempts, got.MeanAttempts, byWait[class].FirstTokenP90, got.FirstTokenP90)
				assert.Check(t, got.ServedAtOnce >= minServedAtOnceRatio*byWait[class].ServedAtOnce, got.Class)
				assert.Check(t, got.ServedEventually >= minServedRatio*byWait[class].ServedEventually, got.Class)
			}
			assert.Check(t, bySchedule[lowestClass].MeanAttempts < byWait[lowestClass].MeanAttempts)
			assert.Check(t, bySchedule[lowestClass].ServedAtOnce > byWait[lowestClass].ServedAtOnce)
		})
	}
}
