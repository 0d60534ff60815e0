package acaciagateway

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/acaciaroute/acaciaroute"
)

// Metrics are the counters and histograms of a gateway.
type Metrics struct {
	registry *prometheus.Registry
	answers  *prometheus.CounterVec
	firsts   *prometheus.HistogramVec
	times    *prometheus.HistogramVec
	waiting  prometheus.Gauge
	peers    prometheus.Gauge
	version  prometheus.Gauge
}

// NewMetrics returns metrics in a registry of their own, with those of others beside.
func NewMetrics(others ...prometheus.Collector) *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaroute_gateway_answers_total", Help: "Answers to callers, by class and result code.",
		}, []string{"class", "code"}),
		firsts: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "acaciaroute_gateway_first_seconds", Help: "Time from arrival to the first event of a stream.",
			Buckets: prometheus.ExponentialBuckets(0.02, 2, 10),
		}, []string{"class"}),
		times: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "acaciaroute_gateway_answer_seconds", Help: "Time from arrival to the end of the answer.",
			Buckets: prometheus.ExponentialBuckets(0.02, 2, 11),
		}, []string{"class"}),
		waiting: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "acaciaroute_gateway_waiting", Help: "Requests that wait for a place.",
		}),
		peers: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "acaciaroute_gateway_processes", Help: "Live gateways, this one too.",
		}),
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "acaciaroute_gateway_configuration_version", Help: "Version of the configuration in force.",
		}),
	}
	m.registry.MustRegister(m.answers, m.firsts, m.times, m.waiting, m.peers, m.version)
	m.registry.MustRegister(others...)
	return m
}

func (m *Metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// answered counts an answer.
func (m *Metrics) answered(x *exchange, code acaciaroute.Code) {
	class := ""
	if x.route != nil {
		class = x.route.Name
	}
	m.answers.WithLabelValues(class, code.String()).Inc()
	m.times.WithLabelValues(class).Observe(time.Since(x.arrived).Seconds())
}

// first notes the time to the first event of a stream.
func (m *Metrics) first(x *exchange, took time.Duration) {
	m.firsts.WithLabelValues(x.route.Name).Observe(took.Seconds())
}

// observe reads the gauges; it runs on the loop.
func (m *Metrics) observe(g *Gateway) {
	m.waiting.Set(float64(len(g.waiters)))
	m.peers.Set(float64(g.members.Count()))
	if current := g.configuration.Load(); current != nil {
		m.version.Set(float64(current.Version))
	}
}
