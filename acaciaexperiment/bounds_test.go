package acaciaexperiment

import (
	"testing"

	"gotest.tools/v3/assert"
)

const (
	seed = 1

	leastTop      = 0.99
	leastOfBound  = 0.92
	mostWasted    = 0.02
	mostOfBest    = 1.0 / 3
	mostTail      = 1.3
	leastJain     = 0.95
	mostLag       = 1.0
	shippedPolicy = "late_binding"
	boundPolicy   = "clairvoyant"
)

var played = map[string]map[string]Measures{}

// measures returns the measures of all runs of a workload by scenario and policy.
func measures(workload Workload) map[string]Measures {
	if rows, ok := played[workload.Name]; ok {
		return rows
	}
	rows := map[string]Measures{}
	for _, m := range Compare(workload, Scenarios, Contenders, seed) {
		rows[m.Scenario+"/"+m.Contender] = m
	}
	played[workload.Name] = rows
	return rows
}

func each(t *testing.T, check func(t *testing.T, rows map[string]Measures)) {
	for _, workload := range Workloads {
		t.Run(workload.Name, func(t *testing.T) { check(t, measures(workload)) })
	}
}

// eachWithoutFaults runs a check on every scenario without faults, as a test of its
// own.
func eachWithoutFaults(t *testing.T, check func(t *testing.T, rows map[string]Measures, scenario string)) {
	each(t, func(t *testing.T, rows map[string]Measures) {
		for _, scenario := range []string{"steady", "overload", "swing"} {
			t.Run(scenario, func(t *testing.T) { check(t, rows, scenario) })
		}
	})
}

func TestGoodputInOverloadIsNearTheBound(t *testing.T) {
	each(t, func(t *testing.T, rows map[string]Measures) {
		got, bound := rows["overload/"+shippedPolicy], rows["overload/"+boundPolicy]
		assert.Check(t, got.Goodput[0] >= leastTop, "top class %.4f", got.Goodput[0])
		for class := range got.Goodput {
			assert.Check(t, got.Goodput[class] >= leastOfBound*bound.Goodput[class], "class %d: %.4f of %.4f", class, got.Goodput[class], bound.Goodput[class])
		}
	})
}

func TestTopClassMeetsItsTargetsOnTheCrest(t *testing.T) {
	each(t, func(t *testing.T, rows map[string]Measures) {
		crest := rows["swing/"+shippedPolicy].Crest
		assert.Check(t, crest >= leastTop, "top class %.4f", crest)
	})
}

func TestWastedPrefillWithoutFaults(t *testing.T) {
	eachWithoutFaults(t, func(t *testing.T, rows map[string]Measures, scenario string) {
		wasted := rows[scenario+"/"+shippedPolicy].Wasted
		assert.Check(t, wasted <= mostWasted, "%.4f", wasted)
	})
}

func TestWastedPrefillIsAThirdOfTheBestBaselines(t *testing.T) {
	eachWithoutFaults(t, func(t *testing.T, rows map[string]Measures, scenario string) {
		best := 1.0
		for _, baseline := range []string{"early_binding", "two_choices", "least_loaded", "round_robin"} {
			best = min(best, rows[scenario+"/"+baseline].Wasted)
		}
		wasted := rows[scenario+"/"+shippedPolicy].Wasted
		assert.Check(t, wasted <= mostOfBest*best, "%.4f, best baseline %.4f", wasted, best)
	})
}

func TestTailsWithStragglers(t *testing.T) {
	each(t, func(t *testing.T, rows map[string]Measures) {
		with, without := rows["stragglers/"+shippedPolicy].Tail, rows["steady/"+shippedPolicy].Tail
		assert.Check(t, float64(with) <= mostTail*float64(without), "%s with, %s without", with, without)
	})
}

func TestSharesUnderOverload(t *testing.T) {
	each(t, func(t *testing.T, rows map[string]Measures) {
		for _, scenario := range []string{"overload", "swing"} {
			got := rows[scenario+"/"+shippedPolicy]
			assert.Check(t, got.SmallLag <= mostLag, "%s: a small member lags by %.2f requests", scenario, got.SmallLag)
			assert.Check(t, got.Jain >= leastJain, "%s: Jain's index %.3f", scenario, got.Jain)
		}
	})
}

func TestNoHigherClassIsShedBeforeALowerOne(t *testing.T) {
	each(t, func(t *testing.T, rows map[string]Measures) {
		for _, scenario := range Scenarios {
			got := rows[scenario.Name+"/"+shippedPolicy]
			assert.Check(t, got.Violations == 0, "%s: %d violations", scenario.Name, got.Violations)
		}
	})
}

// A checker that sees nothing would pass the test above.
func TestOrderCheckerSeesEarlyBindingBreakTheOrder(t *testing.T) {
	violations := 0
	for _, workload := range Workloads {
		for name, m := range measures(workload) {
			if m.Contender == "early_binding" {
				t.Logf("%s %s: %d", workload.Name, name, m.Violations)
				violations += m.Violations
			}
		}
	}
	assert.Check(t, violations > 0)
}

func TestRunsAreRepeatable(t *testing.T) {
	first := Measure(Play(DalaShred, Scenarios[1], Contenders[0], seed))
	again := Measure(Play(DalaShred, Scenarios[1], Contenders[0], seed))
	assert.DeepEqual(t, first, again)
}
