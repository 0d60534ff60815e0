package acaciaagent

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the agent's own metrics. The targets bound the number of classes, and so
// the number of label values.
type metrics struct {
	grants    *prometheus.CounterVec
	takenBack *prometheus.CounterVec
	tokens    *prometheus.CounterVec
	runTime   *prometheus.HistogramVec
}

func newMetrics() *metrics {
	class := []string{"class"}
	return &metrics{
		grants: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaroute_grants_total",
			Help: "Grants given.",
		}, class),
		takenBack: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaroute_taken_back_total",
			Help: "Requests taken back from the endpoint before their first token, because it had become slow.",
		}, class),
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaroute_tokens_total",
			Help: "Tokens that the engine has generated.",
		}, class),
		runTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "acaciaroute_run_seconds",
			Help:    "Time that requests spent at the endpoint.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 16),
		}, class),
	}
}

func (m *metrics) register(registry *prometheus.Registry) {
	registry.MustRegister(m.grants, m.takenBack, m.tokens, m.runTime)
}
