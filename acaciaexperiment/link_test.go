package acaciaexperiment

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciachoice"
)

// simulateOneSidedLoad sends all requests to the region west, which has the given number
// of the 20 engines, so that many requests run in the other region. The link has its
// default rate multiplied by linkRateFactor; without useLinkBudget, entries do not limit its use.
func simulateOneSidedLoad(engines int, linkRateFactor float64, useLinkBudget bool) Measures {
	workload := Hoehlenplan
	workload.DataCentres = []DataCentre{
		{"ost-wien", "ost", 20 - engines, 0},
		{"west-ibk", "west", engines, 1},
	}
	s := newSimulation(workload, seed, eventCapacity)
	s.network.linkBytesPerSecond = linkRateFactor * defaultLinkBytesPerSecond
	s.addEntries(func() acaciaroute.Policy { return acaciachoice.NewLateBinding(s.random) })
	if !useLinkBudget {
		for _, e := range s.entries {
			e.chooser.SetRegionLinkRate(0)
		}
	}
	rate := func(time.Duration) float64 { return steadyLoad * workload.Capacity }
	s.scheduleArrivals(workload.Trace(rand.New(rand.NewPCG(seed, 1)), ArrivalPeriod, rate), s.submit)
	s.loop.Run(startTime.Add(ArrivalPeriod + drainTime))
	return Measure(Run{Workload: workload, Results: s.results, Events: s.recorder.EventsAfter(0), LinkBytes: s.network.linkBytes})
}

func TestIdleRegionServesAllClassesOfBusyRegion(t *testing.T) {
	m := simulateOneSidedLoad(6, 1, true)
	t.Logf("goodput %.3f, %d MB over the link", m.Goodput, m.LinkBytes/1e6)
	for class, goodput := range m.Goodput {
		// The clairvoyant queue would serve all requests of a steady load, so its
		// goodput would be 1.
		assert.Check(t, goodput >= minShareOfClairvoyant, "class %d: %.4f", class, goodput)
	}
	assert.Check(t, m.Goodput[0] >= minTopClassGoodput)
	assert.Equal(t, m.ShedOrderViolations, 0)
}

func TestNarrowLinkServesHigherClassesFirst(t *testing.T) {
	with, without := simulateOneSidedLoad(2, 0.2, true), simulateOneSidedLoad(2, 0.2, false)
	t.Logf("with a link budget: goodput %.3f, p99 first token %s, %d MB, %d shed order violations; without: %.3f, %s, %d MB, %d",
		with.Goodput, with.FirstTokenP99, with.LinkBytes/1e6, with.ShedOrderViolations, without.Goodput, without.FirstTokenP99, without.LinkBytes/1e6, without.ShedOrderViolations)
	assert.Check(t, with.Goodput[0] >= minTopClassGoodput, "first class %.4f", with.Goodput[0])
	assert.Check(t, with.Goodput[1] >= minTopClassGoodput, "second class %.4f", with.Goodput[1])
	assert.Equal(t, with.ShedOrderViolations, 0)
	assert.Check(t, without.Goodput[1] < minTopClassGoodput, "the link is too fast to show the effect of the budget")
}
