package acaciagateway

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/acaciaroute/acaciaroute"
)

// Metrics holds the counters, histograms and gauges of a gateway.
type Metrics struct {
	registry             *prometheus.Registry
	responses            *prometheus.CounterVec
	firstEventTimes      *prometheus.HistogramVec
	responseTimes        *prometheus.HistogramVec
	waitingRequests      prometheus.Gauge
	processes            prometheus.Gauge
	configurationVersion prometheus.Gauge
	storeEra             prometheus.Gauge
	bannedTraits         prometheus.Gauge
	limitedEndpoints     prometheus.Gauge
	leavingEndpoints     prometheus.Gauge
	backoffEndpoints     prometheus.Gauge
	endpointCrashes      *prometheus.CounterVec
}

// NewMetrics returns metrics in a registry of their own, in which others are registered too.
func NewMetrics(others ...prometheus.Collector) *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		responses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaroute_gateway_answers_total", Help: "Answers to callers, by class and result code.",
		}, []string{"class", "code"}),
		firstEventTimes: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "acaciaroute_gateway_first_seconds", Help: "Time from arrival to the first event of a stream.",
			Buckets: prometheus.ExponentialBuckets(0.02, 2, 10),
		}, []string{"class"}),
		responseTimes: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "acaciaroute_gateway_answer_seconds", Help: "Time from arrival to the end of the answer.",
			Buckets: prometheus.ExponentialBuckets(0.02, 2, 11),
		}, []string{"class"}),
		waitingRequests: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "acaciaroute_gateway_waiting", Help: "Requests that wait for a place.",
		}),
		processes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "acaciaroute_gateway_processes", Help: "Live gateways, this one too.",
		}),
		configurationVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "acaciaroute_gateway_configuration_version", Help: "Version of the configuration in force.",
		}),
		storeEra: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "acaciaroute_gateway_store_era", Help: "Era of the store; it rises when the store is restored from a copy.",
		}),
		bannedTraits: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "acaciaroute_gateway_banned", Help: "Prompt segments and contents that crashed endpoints and are refused.",
		}),
		limitedEndpoints: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "acaciaroute_gateway_limited_endpoints", Help: "Endpoints that announce a limit of requests a second.",
		}),
		leavingEndpoints: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "acaciaroute_gateway_leaving_endpoints", Help: "Endpoints that are draining, by their own word or the store's.",
		}),
		backoffEndpoints: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "acaciaroute_gateway_backoff_endpoints", Help: "Endpoints that want no requests from this gateway now.",
		}),
		endpointCrashes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaroute_gateway_endpoint_crashes_total", Help: "Requests that broke off because their endpoint crashed, by service.",
		}, []string{"service"}),
	}
	m.registry.MustRegister(m.responses, m.firstEventTimes, m.responseTimes, m.waitingRequests, m.processes, m.configurationVersion, m.storeEra, m.bannedTraits, m.limitedEndpoints, m.leavingEndpoints, m.backoffEndpoints, m.endpointCrashes)
	m.registry.MustRegister(others...)
	return m
}

func (m *Metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// countResponse counts a response and observes its total time.
func (m *Metrics) countResponse(x *exchange, code acaciaroute.Code) {
	class := ""
	if x.route != nil {
		class = x.route.Name
	}
	m.responses.WithLabelValues(class, code.String()).Inc()
	m.responseTimes.WithLabelValues(class).Observe(time.Since(x.arrivedAt).Seconds())
}

// observeFirstEvent observes the time from arrival to the first event of a stream.
func (m *Metrics) observeFirstEvent(x *exchange, elapsed time.Duration) {
	m.firstEventTimes.WithLabelValues(x.route.Name).Observe(elapsed.Seconds())
}

// updateGauges sets the gauges from the gateway's state. It must be called on the loop.
func (m *Metrics) updateGauges(g *Gateway) {
	m.waitingRequests.Set(float64(len(g.waiters)))
	m.processes.Set(float64(g.members.Count()))
	m.storeEra.Set(float64(g.era.era()))
	m.bannedTraits.Set(float64(len(g.crashes.Bans())))
	m.limitedEndpoints.Set(float64(g.scheduler.CountLimited()))
	m.backoffEndpoints.Set(float64(g.scheduler.CountBackoffs(g.loop.Now())))
	m.leavingEndpoints.Set(float64(g.scheduler.CountDraining()))
	if current := g.configuration.Load(); current != nil {
		m.configurationVersion.Set(float64(current.Version))
	}
}
