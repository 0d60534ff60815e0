package acaciaprocess

import (
	"cmp"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaroute/acaciaroute/acaciawire"
)

type (
	// RequestCounts counts requests by class and organisation, for the status reply
	// and the metrics.
	RequestCounts struct {
		mu     sync.Mutex
		counts map[countKey]*[countFieldCount]int64
	}

	// CountField selects one of the numbers kept for a class and an
	// organisation.
	CountField int

	countKey struct {
		class        string
		organisation string
	}
)

// The fields of the request counts. The first two are gauges; the others are
// counters.
const (
	CountWaiting CountField = iota
	CountRunning
	CountDone
	CountShed
	CountFailed
	// CountWithinTargets counts the requests in CountDone that met the targets of
	// their class.
	CountWithinTargets

	countFieldCount = 6
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

// NewRequestCounts returns empty request counts.
func NewRequestCounts() *RequestCounts {
	return &RequestCounts{counts: map[countKey]*[countFieldCount]int64{}}
}

// Add adds delta to a field of a class and an organisation.
func (r *RequestCounts) Add(class, organisation string, field CountField, delta int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := countKey{class, organisation}
	fields, ok := r.counts[key]
	if !ok {
		fields = &[countFieldCount]int64{}
		r.counts[key] = fields
	}
	fields[field] += delta
}

// Counts returns all numbers, sorted by class and organisation.
func (r *RequestCounts) Counts() []*acaciawire.StatusCount {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make([]*acaciawire.StatusCount, 0, len(r.counts))
	for key, fields := range r.counts {
		counts = append(counts, &acaciawire.StatusCount{
			Class:        key.class,
			Organisation: key.organisation,
			Waiting:      fields[CountWaiting],
			Running:      fields[CountRunning],
			Done:         fields[CountDone],
			Shed:         fields[CountShed],
			Failed:       fields[CountFailed],

			WithinTargets: fields[CountWithinTargets],
		})
	}
	slices.SortFunc(counts, func(a, b *acaciawire.StatusCount) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Organisation, b.Organisation))
	})
	return counts
}

// Describe implements prometheus.Collector.
func (r *RequestCounts) Describe(descs chan<- *prometheus.Desc) {
	descs <- requestsDesc
	descs <- requestsEndedDesc
}

// Collect implements prometheus.Collector.
func (r *RequestCounts) Collect(metrics chan<- prometheus.Metric) {
	for _, count := range limitOrganisations(r.Counts()) {
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
