package acaciaprocess

import (
	"cmp"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaroute/acaciaroute/acaciawire"
)

type (
	// Tally counts requests by class and organisation, for status and metrics.
	Tally struct {
		mu     sync.Mutex
		counts map[tallyKey]*[tallyFields]int64
	}

	// TallyField is one of the numbers that a tally keeps.
	TallyField int

	tallyKey struct {
		class        string
		organisation string
	}
)

// The fields of a tally. The first two go up and down.
const (
	TallyWaiting TallyField = iota
	TallyRunning
	TallyDone
	TallyShed
	TallyFailed
	// TallyWithin counts those of TallyDone that met their class's times.
	TallyWithin

	tallyFields = 6
	// maxOrganisationLabels bounds the organisations that metrics name; the rest
	// are counted together.
	maxOrganisationLabels = 50
	otherOrganisations    = "other"
)

var (
	tallyGauge = prometheus.NewDesc("acaciaroute_requests",
		"Requests that wait or run now.", []string{"state", "class", "organisation"}, nil)
	tallyCounter = prometheus.NewDesc("acaciaroute_requests_ended_total",
		"Requests that were answered or shed.", []string{"outcome", "class", "organisation"}, nil)
)

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{counts: map[tallyKey]*[tallyFields]int64{}}
}

// Add adds delta to a field.
func (t *Tally) Add(class, organisation string, field TallyField, delta int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := tallyKey{class, organisation}
	count, ok := t.counts[key]
	if !ok {
		count = &[tallyFields]int64{}
		t.counts[key] = count
	}
	count[field] += delta
}

// Counts returns all numbers, ordered by class and organisation.
func (t *Tally) Counts() []*acaciawire.StatusCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make([]*acaciawire.StatusCount, 0, len(t.counts))
	for key, count := range t.counts {
		counts = append(counts, &acaciawire.StatusCount{
			Class:        key.class,
			Organisation: key.organisation,
			Waiting:      count[TallyWaiting],
			Running:      count[TallyRunning],
			Done:         count[TallyDone],
			Shed:         count[TallyShed],
			Failed:       count[TallyFailed],

			WithinTargets: count[TallyWithin],
		})
	}
	slices.SortFunc(counts, func(a, b *acaciawire.StatusCount) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Organisation, b.Organisation))
	})
	return counts
}

// Describe implements prometheus.Collector.
func (t *Tally) Describe(descs chan<- *prometheus.Desc) {
	descs <- tallyGauge
	descs <- tallyCounter
}

// Collect implements prometheus.Collector.
func (t *Tally) Collect(metrics chan<- prometheus.Metric) {
	for _, count := range boundOrganisations(t.Counts()) {
		gauge := func(state string, value int64) {
			metrics <- prometheus.MustNewConstMetric(tallyGauge, prometheus.GaugeValue, float64(value), state, count.Class, count.Organisation)
		}
		counter := func(outcome string, value int64) {
			metrics <- prometheus.MustNewConstMetric(tallyCounter, prometheus.CounterValue, float64(value), outcome, count.Class, count.Organisation)
		}
		gauge("waiting", count.Waiting)
		gauge("running", count.Running)
		counter("done", count.Done)
		counter("shed", count.Shed)
		counter("failed", count.Failed)
		counter("within_targets", count.WithinTargets)
	}
}

// boundOrganisations adds up the counts of all organisations but the first few
// by name.
func boundOrganisations(counts []*acaciawire.StatusCount) []*acaciawire.StatusCount {
	named := map[string]bool{}
	others := map[string]*acaciawire.StatusCount{}
	var bounded []*acaciawire.StatusCount
	for _, count := range counts {
		if named[count.Organisation] || len(named) < maxOrganisationLabels {
			named[count.Organisation] = true
			bounded = append(bounded, count)
			continue
		}
		other, ok := others[count.Class]
		if !ok {
			other = &acaciawire.StatusCount{Class: count.Class, Organisation: otherOrganisations}
			others[count.Class] = other
			bounded = append(bounded, other)
		}
		other.Waiting += count.Waiting
		other.Running += count.Running
		other.Done += count.Done
		other.Shed += count.Shed
		other.Failed += count.Failed
		other.WithinTargets += count.WithinTargets
	}
	return bounded
}
