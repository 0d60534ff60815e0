package acaciaprocess

import (
	"cmp"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaroute/acaciaroute/acaciawire"
)

type (
	// Tally counts requests by class and organisation, for the status reply and the
	// metrics.
	Tally struct {
		mu     sync.Mutex
		counts map[tallyKey]*[tallyFieldCount]int64
	}

	// TallyField selects one of the numbers that a tally keeps for a class and an
	// organisation.
	TallyField int

	tallyKey struct {
		class        string
		organisation string
	}
)

// The fields of a tally. The first two are gauges; the others are counters.
const (
	TallyWaiting TallyField = iota
	TallyRunning
	TallyDone
	TallyShed
	TallyFailed
	// TallyWithin counts the requests in TallyDone that met the targets of their class.
	TallyWithin

	tallyFieldCount = 6
	// maxOrganisationLabels bounds the organisations with a metric label of their
	// own; the others are counted together.
	maxOrganisationLabels   = 50
	otherOrganisationsLabel = "other"
)

var (
	requestsDesc = prometheus.NewDesc("acaciaroute_requests",
		"Requests that wait or run now.", []string{"state", "class", "organisation"}, nil)
	requestsEndedDesc = prometheus.NewDesc("acaciaroute_requests_ended_total",
		"Requests that were answered or shed.", []string{"outcome", "class", "organisation"}, nil)
)

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{counts: map[tallyKey]*[tallyFieldCount]int64{}}
}

// Add adds delta to a field of a class and an organisation.
func (t *Tally) Add(class, organisation string, field TallyField, delta int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := tallyKey{class, organisation}
	fields, ok := t.counts[key]
	if !ok {
		fields = &[tallyFieldCount]int64{}
		t.counts[key] = fields
	}
	fields[field] += delta
}

// Counts returns all numbers, sorted by class and organisation.
func (t *Tally) Counts() []*acaciawire.StatusCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make([]*acaciawire.StatusCount, 0, len(t.counts))
	for key, fields := range t.counts {
		counts = append(counts, &acaciawire.StatusCount{
			Class:        key.class,
			Organisation: key.organisation,
			Waiting:      fields[TallyWaiting],
			Running:      fields[TallyRunning],
			Done:         fields[TallyDone],
			Shed:         fields[TallyShed],
			Failed:       fields[TallyFailed],

			WithinTargets: fields[TallyWithin],
		})
	}
	slices.SortFunc(counts, func(a, b *acaciawire.StatusCount) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Organisation, b.Organisation))
	})
	return counts
}

// Describe implements prometheus.Collector.
func (t *Tally) Describe(descs chan<- *prometheus.Desc) {
	descs <- requestsDesc
	descs <- requestsEndedDesc
}

// Collect implements prometheus.Collector.
func (t *Tally) Collect(metrics chan<- prometheus.Metric) {
	for _, count := range limitOrganisations(t.Counts()) {
		gauge := func(state string, value int64) {
			metrics <- prometheus.MustNewConstMetric(requestsDesc, prometheus.GaugeValue, float64(value), state, count.Class, count.Organisation)
		}
		counter := func(outcome string, value int64) {
			metrics <- prometheus.MustNewConstMetric(requestsEndedDesc, prometheus.CounterValue, float64(value), outcome, count.Class, count.Organisation)
		}
		gauge("waiting", count.Waiting)
		gauge("running", count.Running)
		counter("done", count.Done)
		counter("shed", count.Shed)
		counter("failed", count.Failed)
		counter("within_targets", count.WithinTargets)
	}
}

// limitOrganisations keeps the counts of the first maxOrganisationLabels organisations
// and adds up those of all others, by class.
func limitOrganisations(counts []*acaciawire.StatusCount) []*acaciawire.StatusCount {
	labelled := map[string]bool{}
	others := map[string]*acaciawire.StatusCount{}
	var limited []*acaciawire.StatusCount
	for _, count := range counts {
		if labelled[count.Organisation] || len(labelled) < maxOrganisationLabels {
			labelled[count.Organisation] = true
			limited = append(limited, count)
			continue
		}
		other, ok := others[count.Class]
		if !ok {
			other = &acaciawire.StatusCount{Class: count.Class, Organisation: otherOrganisationsLabel}
			others[count.Class] = other
			limited = append(limited, other)
		}
		other.Waiting += count.Waiting
		other.Running += count.Running
		other.Done += count.Done
		other.Shed += count.Shed
		other.Failed += count.Failed
		other.WithinTargets += count.WithinTargets
	}
	return limited
}
