package acaciaexperiment

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciachoice"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
)

type (
	// Scenario is the load and the faults of a run.
	Scenario struct {
		Name string
		// Load is the offered load at a time as a multiple of the workload's capacity.
		Load func(time.Duration) float64
		// InjectFaults schedules the faults of the run.
		InjectFaults func(s *simulation)
		// ArrivalPeriod is the time during which requests arrive; zero means the
		// constant ArrivalPeriod.
		ArrivalPeriod time.Duration
		// RetryRule, if set, decides when refused callers are told to retry; without
		// it, callers do not retry.
		RetryRule func(random *rand.Rand) acaciachoice.RetryRule
	}

	// PolicyVariant is a policy that takes part in a comparison.
	PolicyVariant struct {
		Name string
		// AdmitAll makes agents grant every reservation at once.
		AdmitAll bool
		// Policy returns a new instance of the policy. It is nil for the clairvoyant
		// queue.
		Policy func(random *rand.Rand) acaciaroute.Policy
	}

	// Run is the record of a finished run.
	Run struct {
		Workload  Workload
		Scenario  string
		Policy    string
		Results   []*Result
		Events    []acaciaevent.Event
		LinkBytes int64
	}
)

const (
	// Warmup is the time at the start of a run that Goodput, Failures, WastedPrefill,
	// FirstTokenP99 and the measures of fairness leave out.
	Warmup = 20 * time.Second
	// ArrivalPeriod is the time during which requests arrive.
	ArrivalPeriod = 120 * time.Second
	// SwingStart is the time at which the load of the swing scenario begins to rise
	// fivefold.
	SwingStart = 50 * time.Second
	// SwingEnd is the time at which the load falls back to normal.
	SwingEnd = 80 * time.Second

	steadyLoad            = 0.7
	overloadLoad          = 1.3
	swingFactor           = 5
	swingBaseLoad         = 0.4
	swingRampTime         = 2 * time.Second
	drainTime             = 90 * time.Second
	eventCapacity         = 400_000
	linkBlockStart        = 50 * time.Second
	linkBlockDuration     = 30 * time.Second
	crashDowntime         = 10 * time.Second
	stragglerSpeed        = 0.1
	stragglerDuration     = 5 * time.Second
	meanStragglerInterval = 20 * time.Second
)

// Scenarios are all scenarios in the order of the table.
var Scenarios = []Scenario{
	{Name: "steady", Load: constantLoad(steadyLoad), InjectFaults: injectNoFaults},
	{Name: "overload", Load: constantLoad(overloadLoad), InjectFaults: injectNoFaults},
	{Name: "swing", Load: swingLoad, InjectFaults: injectNoFaults},
	{Name: "stragglers", Load: constantLoad(steadyLoad), InjectFaults: slowEndpoints},
	{Name: "region_cut", Load: constantLoad(steadyLoad), InjectFaults: blockRegionLink},
	{Name: "deaths", Load: constantLoad(steadyLoad), InjectFaults: crashEndpoints},
}

// PolicyVariants are all policies in the order of the table.
var PolicyVariants = []PolicyVariant{
	{"late_binding", false, acaciachoice.NewLateBinding},
	{"early_binding", false, acaciachoice.NewEarlyBinding},
	{"two_choices", true, acaciachoice.NewTwoChoices},
	{"least_loaded", true, func(*rand.Rand) acaciaroute.Policy { return acaciachoice.NewLeastLoaded() }},
	{"round_robin", true, func(*rand.Rand) acaciaroute.Policy { return acaciachoice.NewRoundRobin() }},
	{"clairvoyant", false, nil},
}

// Simulate runs a policy in a scenario and returns the record of the run. The same
// seed gives the same run.
func Simulate(workload Workload, scenario Scenario, variant PolicyVariant, seed uint64) Run {
	s := newSimulation(workload, seed, eventCapacity)
	submit := s.submit
	if variant.Policy == nil {
		submit = newClairvoyantQueue(s).submit
	} else {
		s.addEntries(func() acaciaroute.Policy { return variant.Policy(s.random) })
	}
	for _, e := range s.endpointList {
		e.admitAll = variant.AdmitAll
	}
	drain := drainTime
	if scenario.RetryRule != nil {
		s.callersRetry = true
		drain = retryDrainTime
		for _, e := range s.entries {
			e.chooser.SetRetryRule(scenario.RetryRule(s.random))
		}
	}
	scenario.InjectFaults(s)
	arrivalPeriod := cmp.Or(scenario.ArrivalPeriod, ArrivalPeriod)
	rate := func(at time.Duration) float64 { return scenario.Load(at) * workload.Capacity }
	s.scheduleArrivals(workload.Trace(rand.New(rand.NewPCG(seed, 1)), arrivalPeriod, rate), submit)
	s.loop.Run(startTime.Add(arrivalPeriod + drain))
	return Run{
		Workload:  workload,
		Scenario:  scenario.Name,
		Policy:    variant.Name,
		Results:   s.results,
		Events:    s.recorder.EventsAfter(0),
		LinkBytes: s.network.linkBytes,
	}
}

func constantLoad(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// swingLoad rises fivefold within two seconds at SwingStart and falls back at SwingEnd.
func swingLoad(at time.Duration) float64 {
	if at < SwingStart || at > SwingEnd {
		return swingBaseLoad
	}
	ramp := min(1, float64(at-SwingStart)/float64(swingRampTime))
	return swingBaseLoad * (1 + (swingFactor-1)*ramp)
}

func injectNoFaults(*simulation) {}

// slowEndpoints slows each endpoint down to a tenth of its speed for about a fifth of the
// time, at random times independent of the other endpoints.
func slowEndpoints(s *simulation) {
	for _, e := range s.endpointList {
		var slow, normal func()
		slow = func() {
			e.engine.SetSlowdown(1 / stragglerSpeed)
			s.loop.After(stragglerDuration, normal)
		}
		normal = func() {
			e.engine.SetSlowdown(1)
			s.loop.After(time.Duration((0.5+s.random.Float64())*float64(meanStragglerInterval)), slow)
		}
		s.loop.After(time.Duration(s.random.Float64()*float64(meanStragglerInterval)), slow)
	}
}

func blockRegionLink(s *simulation) {
	s.loop.After(linkBlockStart, func() { s.network.linkBlocked = true })
	s.loop.After(linkBlockStart+linkBlockDuration, func() { s.network.linkBlocked = false })
}

func crashEndpoints(s *simulation) {
	for i, at := range []time.Duration{40 * time.Second, 60 * time.Second, 60 * time.Second, 90 * time.Second} {
		e := s.endpointList[(i*5+1)%len(s.endpointList)]
		s.loop.After(at, func() { e.crash(crashDowntime) })
	}
}
