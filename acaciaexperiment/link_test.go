package acaciaexperiment

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciachoice"
)

// playOneSided has all requests come to a region with some of the engines, so that
// many run in the other one, over a link with a part of its rate.
func playOneSided(engines int, link float64, budget bool) Measures {
	workload := Hoehlenplan
	workload.DataCentres = []DataCentre{
		{"ost-wien", "ost", 20 - engines, 0},
		{"west-ibk", "west", engines, 1},
	}
	w := newWorld(workload, seed, keepEvents)
	w.network.rate = link * linkRate
	w.useChoosers(func() acaciaroute.Policy { return acaciachoice.NewLateBinding(w.random) })
	if !budget {
		for _, e := range w.entries {
			e.chooser.SetLink(0)
		}
	}
	rate := func(time.Duration) float64 { return steadyLoad * workload.Capacity }
	w.offer(workload.Trace(rand.New(rand.NewPCG(seed, 1)), Length, rate), w.submit)
	w.loop.Run(epoch.Add(Length + settleTime))
	return Measure(Run{Workload: workload, Results: w.results, Events: w.recorder.After(0), LinkBytes: w.network.bytes})
}

func TestIdleRegionServesAllClassesOfABusyOne(t *testing.T) {
	m := playOneSided(6, 1, true)
	t.Logf("%.3f within targets, %d MB over the link", m.Goodput, m.LinkBytes/1e6)
	for class, goodput := range m.Goodput {
		// The clairvoyant queue serves all of a steady load.
		assert.Check(t, goodput >= leastOfBound, "class %d: %.4f", class, goodput)
	}
	assert.Check(t, m.Goodput[0] >= leastTop)
	assert.Equal(t, m.Violations, 0)
}

func TestNarrowLinkServesHigherClassesFirst(t *testing.T) {
	with, without := playOneSided(2, 0.2, true), playOneSided(2, 0.2, false)
	t.Logf("with a budget: %.3f within targets, first token %s, %d MB, %d breaches of the order; without: %.3f, %s, %d MB, %d",
		with.Goodput, with.Tail, with.LinkBytes/1e6, with.Violations, without.Goodput, without.Tail, without.LinkBytes/1e6, without.Violations)
	assert.Check(t, with.Goodput[0] >= leastTop, "first class %.4f", with.Goodput[0])
	assert.Check(t, with.Goodput[1] >= leastTop, "second class %.4f", with.Goodput[1])
	assert.Equal(t, with.Violations, 0)
	assert.Check(t, without.Goodput[1] < leastTop, "the link is not narrow enough to tell")
}
