package acaciaentry

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaroute/acaciaroute"
)

// metrics are the entry's own metrics; classes are bounded by the targets.
type metrics struct {
	codes     *prometheus.CounterVec
	firstByte *prometheus.HistogramVec
	wholeTime *prometheus.HistogramVec
	asked     prometheus.Histogram
	linkBytes *prometheus.CounterVec
}

func newMetrics() *metrics {
	return &metrics{
		codes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaroute_results_total",
			Help: "Requests by result code.",
		}, []string{"code"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "acaciaroute_first_byte_seconds",
			Help:    "Time until the first byte of the answer's body.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 14),
		}, []string{"class"}),
		wholeTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "acaciaroute_request_seconds",
			Help:    "Time from a request's arrival to its end, by outcome.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 16),
		}, []string{"class", "outcome"}),
		asked: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "acaciaroute_agents_asked",
			Help:    "Agents asked for a place, by request.",
			Buckets: prometheus.ExponentialBuckets(1, 2, 10),
		}),
		linkBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaroute_region_link_bytes_total",
			Help: "Bytes of bodies sent to and received from other regions.",
		}, []string{"class"}),
	}
}

func (m *metrics) register(registry *prometheus.Registry) {
	registry.MustRegister(m.codes, m.firstByte, m.wholeTime, m.asked, m.linkBytes)
}

// ended notes the end of a request and how long it took.
func (m *metrics) ended(req *request, code acaciaroute.Code) {
	m.wholeTime.WithLabelValues(req.class.Name, code.String()).Observe(time.Since(req.arrived).Seconds())
}

func (m *metrics) result(code acaciaroute.Code) {
	m.codes.WithLabelValues(strconv.Itoa(int(code))).Inc()
}
