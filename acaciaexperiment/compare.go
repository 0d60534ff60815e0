package acaciaexperiment

import "runtime"

// Compare simulates every policy in every scenario, up to GOMAXPROCS runs at a time,
// and returns the measures ordered by scenario, then by policy.
func Compare(workload Workload, scenarios []Scenario, variants []PolicyVariant, seed uint64) []Measures {
	rows := make([]Measures, len(scenarios)*len(variants))
	semaphore := make(chan struct{}, runtime.GOMAXPROCS(0))
	done := make(chan struct{}, len(rows))
	for i := range rows {
		semaphore <- struct{}{}
		go func() {
			rows[i] = Measure(Simulate(workload, scenarios[i/len(variants)], variants[i%len(variants)], seed))
			<-semaphore
			done <- struct{}{}
		}()
	}
	for range rows {
		<-done
	}
	return rows
}
