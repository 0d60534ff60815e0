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
	expectedSlotTimes    *prometheus.HistogramVec
	slotTimes            *prometheus.HistogramVec
	waitingRequests      prometheus.Gauge
	processes            prometheus.Gauge
	configurationVersion prometheus.Gauge
	storeEra             prometheus.Gauge
	bannedTraits         prometheus.Gauge
	limitedEndpoints     prometheus.Gauge
	leavingEndpoints     prometheus.Gauge
	backoffEndpoints     prometheus.Gauge
	endpointCrashes      *prometheus.CounterVec
	resumedStreams       *prometheus.CounterVec
	doubtedEndpoints     prometheus.Gauge
	recoveringEndpoints  prometheus.Gauge
	unframedAnswers      *prometheus.CounterVec
	heldAnswerBytes      prometheus.Gauge
	evictedAnswers       prometheus.Counter
	loopBacklog          prometheus.Gauge
	refusedBodies        *prometheus.CounterVec
	rollouts             *rolloutMetrics
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
		expectedSlotTimes: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "acaciaroute_gateway_expected_slot_seconds", Help: "Time for which requests sent to endpoints were expected to hold a slot, by service.",
			Buckets: prometheus.ExponentialBuckets(0.02, 2, 11),
		}, []string{"service"}),
		slotTimes: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "acaciaroute_gateway_slot_seconds", Help: "Time for which requests held a slot, by service.",
			Buckets: prometheus.ExponentialBuckets(0.02, 2, 11),
		}, []string{"service"}),
		waitingRequests:      newGauge("acaciaroute_gateway_waiting", "Requests that wait for a place."),
		processes:            newGauge("acaciaroute_gateway_processes", "Live gateways, this one too."),
		configurationVersion: newGauge("acaciaroute_gateway_configuration_version", "Version of the configuration in force."),
		storeEra:             newGauge("acaciaroute_gateway_store_era", "Era of the store; it rises when the store is restored from a copy."),
		bannedTraits:         newGauge("acaciaroute_gateway_banned", "Prompt segments and contents that crashed endpoints and are refused."),
		limitedEndpoints:     newGauge("acaciaroute_gateway_limited_endpoints", "Endpoints that announce a limit of requests a second."),
		leavingEndpoints:     newGauge("acaciaroute_gateway_leaving_endpoints", "Endpoints that are draining, by their own word or the store's."),
		backoffEndpoints:     newGauge("acaciaroute_gateway_backoff_endpoints", "Endpoints that want no requests from this gateway now."),
		endpointCrashes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaroute_gateway_endpoint_crashes_total", Help: "Requests that broke off because their endpoint crashed, by service.",
		}, []string{"service"}),
		resumedStreams: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaroute_gateway_resumed_streams_total", Help: "Streams that callers resume, by how the software version that began them was found.",
		}, []string{"origin"}),
		unframedAnswers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaroute_gateway_unframed_answers_total", Help: "Answers that ended with their connection, by what showed whether they were whole.",
		}, []string{"proof"}),
		heldAnswerBytes: newGauge("acaciaroute_gateway_held_answer_bytes", "Bytes of answers that are held until more of them has come."),
		evictedAnswers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "acaciaroute_gateway_evicted_answers_total", Help: "Answers that were ended because answers held too much memory.",
		}),
		refusedBodies: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaroute_gateway_refused_bodies_total", Help: "Bodies of requests that were not read to their end, by reason.",
		}, []string{"reason"}),
		loopBacklog:         newGauge("acaciaroute_gateway_loop_backlog_seconds", "How long a request waits for its turn to be decided on, because the gateway is short of processor time."),
		recoveringEndpoints: newGauge("acaciaroute_gateway_recovering_endpoints", "Endpoints that have started or failed and are given no more than their answers allow."),
		doubtedEndpoints:    newGauge("acaciaroute_gateway_doubted_endpoints", "Endpoints that refused connections and have not registered since."),
	}
	m.registry.MustRegister(m.responses, m.firstEventTimes, m.responseTimes, m.expectedSlotTimes, m.slotTimes, m.waitingRequests, m.processes, m.configurationVersion, m.storeEra, m.bannedTraits, m.limitedEndpoints, m.leavingEndpoints, m.backoffEndpoints, m.endpointCrashes, m.resumedStreams, m.doubtedEndpoints, m.recoveringEndpoints, m.unframedAnswers, m.heldAnswerBytes, m.evictedAnswers, m.refusedBodies, m.loopBacklog)
	m.rollouts = newRolloutMetrics()
	m.registry.MustRegister(m.rollouts.collectors()...)
	m.registry.MustRegister(others...)
	return m
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
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

// observeSlotTime observes for how long a request was expected to hold a slot, and has held it.
func (m *Metrics) observeSlotTime(service string, expected, held time.Duration) {
	m.expectedSlotTimes.WithLabelValues(service).Observe(expected.Seconds())
	m.slotTimes.WithLabelValues(service).Observe(held.Seconds())
}

// updateGauges sets the gauges from the gateway's state. It must be called on the loop.
func (m *Metrics) updateGauges(g *Gateway) {
	m.waitingRequests.Set(float64(len(g.waiters)))
	m.processes.Set(float64(g.members.Count()))
	m.storeEra.Set(float64(g.era.Current()))
	m.bannedTraits.Set(float64(len(g.crashes.Bans())))
	counts := g.scheduler.CountEndpoints(g.loop.Now())
	m.limitedEndpoints.Set(float64(counts.Limited))
	m.backoffEndpoints.Set(float64(counts.BackingOff))
	m.leavingEndpoints.Set(float64(counts.Draining))
	m.doubtedEndpoints.Set(float64(counts.Doubted))
	m.recoveringEndpoints.Set(float64(counts.Recovering))
	m.configurationVersion.Set(float64(g.configurationVersion()))
	m.loopBacklog.Set(g.loop.Backlog().Seconds())
	m.heldAnswerBytes.Set(float64(g.answers.Counts().Bytes))
}
