package acaciaentry

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaroute/acaciaroute"
)

// metrics holds the entry's own metrics. The targets limit the number of values of the
// class label.
type metrics struct {
	results         *prometheus.CounterVec
	firstByte       *prometheus.HistogramVec
	duration        *prometheus.HistogramVec
	agentsAsked     prometheus.Histogram
	regionLinkBytes *prometheus.CounterVec
}

func newMetrics() *metrics {
	return &metrics{
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaroute_results_total",
			Help: "Requests by result code.",
		}, []string{"code"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "acaciaroute_first_byte_seconds",
			Help:    "Time until the first byte of the answer's body.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 14),
		}, []string{"class"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "acaciaroute_request_seconds",
			Help:    "Time from a request's arrival to its end, by outcome.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 16),
		}, []string{"class", "outcome"}),
		agentsAsked: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "acaciaroute_agents_asked",
			Help:    "Agents asked for a place, by request.",
			Buckets: prometheus.ExponentialBuckets(1, 2, 10),
		}),
		regionLinkBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaroute_region_link_bytes_total",
			Help: "Bytes of bodies sent to and received from other regions.",
		}, []string{"class"}),
	}
}

func (m *metrics) register(registry *prometheus.Registry) {
	registry.MustRegister(m.results, m.firstByte, m.duration, m.agentsAsked, m.regionLinkBytes)
}

// observeEnd records the duration of a request that has ended.
func (m *metrics) observeEnd(req *request, code acaciaroute.Code) {
	m.duration.WithLabelValues(req.class.Name, code.String()).Observe(time.Since(req.arrived).Seconds())
}

func (m *metrics) countResult(code acaciaroute.Code) {
	m.results.WithLabelValues(strconv.Itoa(int(code))).Inc()
}
