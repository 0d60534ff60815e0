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
	// Scenario is what happens during a run.
	Scenario struct {
		Name string
		// Rate is the offered load as a multiple of the capacity.
		Rate func(time.Duration) float64
		// Disturb sets faults in motion.
		Disturb func(w *world)
		// Length is how long requests arrive; zero stands for the usual Length.
		Length time.Duration
		// Returns, if set, is the rule for refused callers, who then come back.
		Returns func(random *rand.Rand) acaciachoice.Returns
	}

	// Contender is a policy as it takes part in a comparison.
	Contender struct {
		Name string
		// Open tells that agents let everything through at once.
		Open bool
		// Policy is nil for the clairvoyant bound.
		Policy func(random *rand.Rand) acaciaroute.Policy
	}

	// Run is a finished run.
	Run struct {
		Workload  Workload
		Scenario  string
		Contender string
		Results   []*Result
		Events    []acaciaevent.Event
		LinkBytes int64
	}
)

const (
	// Warmup is left out of all measures.
	Warmup = 20 * time.Second
	// Length is the time in which requests arrive.
	Length = 120 * time.Second
	// SwingStart is when the fivefold swing begins.
	SwingStart = 50 * time.Second
	// SwingEnd is when it ends.
	SwingEnd = 80 * time.Second

	steadyLoad   = 0.7
	overload     = 1.3
	swingFactor  = 5
	swingBase    = 0.4
	swingRise    = 2 * time.Second
	settleTime   = 90 * time.Second
	keepEvents   = 400_000
	cutStart     = 50 * time.Second
	cutLength    = 30 * time.Second
	deadTime     = 10 * time.Second
	stragglePace = 0.1
	straggleTime = 5 * time.Second
	straggleGap  = 20 * time.Second
)

// Scenarios are all scenarios, in the order of the table.
var Scenarios = []Scenario{
	{Name: "steady", Rate: constant(steadyLoad), Disturb: nothing},
	{Name: "overload", Rate: constant(overload), Disturb: nothing},
	{Name: "swing", Rate: swing, Disturb: nothing},
	{Name: "stragglers", Rate: constant(steadyLoad), Disturb: straggle},
	{Name: "region_cut", Rate: constant(steadyLoad), Disturb: cutRegion},
	{Name: "deaths", Rate: constant(steadyLoad), Disturb: killEndpoints},
}

// Contenders are the policies, in the order of the table.
var Contenders = []Contender{
	{"late_binding", false, acaciachoice.NewLateBinding},
	{"early_binding", false, acaciachoice.NewEarlyBinding},
	{"two_choices", true, acaciachoice.NewTwoChoices},
	{"least_loaded", true, func(*rand.Rand) acaciaroute.Policy { return acaciachoice.NewLeastLoaded() }},
	{"round_robin", true, func(*rand.Rand) acaciaroute.Policy { return acaciachoice.NewRoundRobin() }},
	{"clairvoyant", false, nil},
}

// Play runs a contender through a scenario.
func Play(workload Workload, scenario Scenario, contender Contender, seed uint64) Run {
	w := newWorld(workload, seed, keepEvents)
	submit := w.submit
	if contender.Policy == nil {
		submit = newBound(w).submit
	} else {
		w.useChoosers(func() acaciaroute.Policy { return contender.Policy(w.random) })
	}
	for _, e := range w.order {
		e.open = contender.Open
	}
	settle := settleTime
	if scenario.Returns != nil {
		w.returning = true
		settle = returnTime
		for _, e := range w.entries {
			e.chooser.SetReturns(scenario.Returns(w.random))
		}
	}
	scenario.Disturb(w)
	length := cmp.Or(scenario.Length, Length)
	rate := func(at time.Duration) float64 { return scenario.Rate(at) * workload.Capacity }
	w.offer(workload.Trace(rand.New(rand.NewPCG(seed, 1)), length, rate), submit)
	w.loop.Run(epoch.Add(length + settle))
	return Run{
		Workload:  workload,
		Scenario:  scenario.Name,
		Contender: contender.Name,
		Results:   w.results,
		Events:    w.recorder.After(0),
		LinkBytes: w.network.bytes,
	}
}

func constant(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// swing rises fivefold within two seconds.
func swing(at time.Duration) float64 {
	if at < SwingStart || at > SwingEnd {
		return swingBase
	}
	rise := min(1, float64(at-SwingStart)/float64(swingRise))
	return swingBase * (1 + (swingFactor-1)*rise)
}

func nothing(*world) {}

// straggle makes each endpoint slow for a fifth of the time, at times of its own.
func straggle(w *world) {
	for _, e := range w.order {
		var slow, normal func()
		slow = func() {
			e.engine.SetSlowdown(1 / stragglePace)
			w.loop.After(straggleTime, normal)
		}
		normal = func() {
			e.engine.SetSlowdown(1)
			w.loop.After(time.Duration((0.5+w.random.Float64())*float64(straggleGap)), slow)
		}
		w.loop.After(time.Duration(w.random.Float64()*float64(straggleGap)), slow)
	}
}

func cutRegion(w *world) {
	w.loop.After(cutStart, func() { w.network.cut = true })
	w.loop.After(cutStart+cutLength, func() { w.network.cut = false })
}

func killEndpoints(w *world) {
	for i, at := range []time.Duration{40 * time.Second, 60 * time.Second, 60 * time.Second, 90 * time.Second} {
		e := w.order[(i*5+1)%len(w.order)]
		w.loop.After(at, func() { e.die(deadTime) })
	}
}
