package acaciaexperiment

import "runtime"

// Compare simulates every contender in every scenario, up to GOMAXPROCS runs at a time,
// and returns the measures ordered by scenario, then by contender.
func Compare(workload Workload, scenarios []Scenario, contenders []Contender, seed uint64) []Measures {
	rows := make([]Measures, len(scenarios)*len(contenders))
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	done := make(chan struct{}, len(rows))
	for i := range rows {
		slots <- struct{}{}
		go func() {
			rows[i] = Measure(Simulate(workload, scenarios[i/len(contenders)], contenders[i%len(contenders)], seed))
			<-slots
			done <- struct{}{}
		}()
	}
	for range rows {
		<-done
	}
	return rows
}
