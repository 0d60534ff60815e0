package acaciagateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciarollout"
)

// rolloutMetrics are the metrics of the orders to move services to other software versions.
type rolloutMetrics struct {
	state    *prometheus.GaugeVec
	step     *prometheus.GaugeVec
	share    *prometheus.GaugeVec
	requests *prometheus.GaugeVec
	answers  *prometheus.CounterVec
}

// RolloutsPath is the path at a gateway's metrics address that tells of the orders, as a JSON list of
// acaciarollout.Explanation.
const RolloutsPath = "/rollouts"

const (
	labelService = "service"
	sideOld      = "old"
	sideTarget   = "target"
)

var resultNames = map[acaciarollout.Result]string{
	acaciarollout.ResultGood: "good", acaciarollout.ResultFailed: "failed", acaciarollout.ResultSlow: "slow",
}

func newRolloutMetrics() *rolloutMetrics {
	newGauges := func(name, help string, labels ...string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "acaciaroute_gateway_rollout_" + name, Help: help}, append([]string{labelService}, labels...))
	}
	return &rolloutMetrics{
		state:    newGauges("state", "State of the order of a service as decided here: 1 running, 2 completed, 3 rolled back."),
		step:     newGauges("step", "Steps by which the exposure of the target has grown."),
		share:    newGauges("share", "Share of the requests that the target may get now."),
		requests: newGauges("requests", "Requests that this gateway has sent since the order, by side.", "side"),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaroute_gateway_rollout_answers_total", Help: "Answers that count as evidence about a version, by side and result.",
		}, []string{labelService, "side", "result"}),
	}
}

func (m *rolloutMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.state, m.step, m.share, m.requests, m.answers}
}

func (m *rolloutMetrics) countAnswer(service string, answer acaciarollout.Answer) {
	side := sideOld
	if answer.Target {
		side = sideTarget
	}
	m.answers.WithLabelValues(service, side, resultNames[answer.Result]).Inc()
}

func (m *rolloutMetrics) set(e acaciarollout.Explanation) {
	service := e.Order.Service
	m.state.WithLabelValues(service).Set(float64(max(e.Verdict, acaciarollout.StateRunning)))
	m.step.WithLabelValues(service).Set(float64(e.Step))
	m.share.WithLabelValues(service).Set(e.Share)
	m.requests.WithLabelValues(service, sideOld).Set(float64(e.SentAll - e.SentTarget))
	m.requests.WithLabelValues(service, sideTarget).Set(float64(e.SentTarget))
}

// forget removes the gauges of a service that has no order any more.
func (m *rolloutMetrics) forget(service string) {
	for _, gauges := range []*prometheus.GaugeVec{m.state, m.step, m.share, m.requests} {
		gauges.DeletePartialMatch(prometheus.Labels{labelService: service})
	}
}

// metricsHandler returns the handler of the metrics address, which also explains where a request would go, and
// tells of the orders in a deployment that has them.
func (g *Gateway) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", g.metrics.handler())
	mux.HandleFunc("GET "+ExplainPath, g.serveExplanation)
	if g.rollouts == nil {
		return mux
	}
	mux.HandleFunc("GET "+RolloutsPath, func(w http.ResponseWriter, _ *http.Request) {
		explanations := []acaciarollout.Explanation{}
		g.loop.Do(func() { explanations = g.rollouts.explain() })
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(explanations); err != nil {
			g.recorder.RecordCallFailure("send the state of the rollouts", acaciaevent.Event{}, err)
		}
	})
	return mux
}

// explain returns why the requests of each service with an order go where they go.
func (r *rollouts) explain() []acaciarollout.Explanation {
	services := r.table.Services()
	slices.Sort(services)
	explanations := make([]acaciarollout.Explanation, 0, len(services))
	for _, service := range services {
		explanations = append(explanations, r.table.Explain(service, r.gateway.loop.Now()))
	}
	return explanations
}

// recordProgress records what has changed about the orders since the last call.
func (r *rollouts) recordProgress() {
	for _, e := range r.explain() {
		service := e.Order.Service
		before, known := r.known[service]
		if known && before.Order != e.Order {
			before, known = acaciarollout.Explanation{}, false
		}
		r.known[service] = e
		r.gateway.metrics.rollouts.set(e)
		event := acaciaevent.Event{Service: service, Detail: describeRollout(e)}
		if !e.Known && (!known || before.Known) {
			event.Kind, event.Detail = acaciaevent.ExposureRefused, "neither the store nor another gateway has told how far the order is"
			r.gateway.recorder.Record(event)
		}
		if e.Step != before.Step {
			event.Kind, event.Count, event.Detail = acaciaevent.RolloutStepped, int64(e.Step), describeRollout(e)
			r.gateway.recorder.Record(event)
		}
		if e.Verdict != before.Verdict && e.Verdict != acaciarollout.StateNone {
			event.Kind, event.Count, event.Detail = acaciaevent.RolloutJudged, e.Order.ID.Offset, e.Verdict.String()+": "+describeRollout(e)
			r.gateway.recorder.Record(event)
		}
	}
}

// describeRollout returns the reason of a decision with the numbers behind it.
func describeRollout(e acaciarollout.Explanation) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s; share %.3g, sent %d of %d, age %v", e.Reason, e.Share, e.SentTarget, e.SentAll, e.Age.Round(rolloutTickInterval))
	for _, route := range e.Routes {
		name := route.Route
		if name == "" {
			name = "all routes"
		}
		fmt.Fprintf(&text, "; %s: target %d answers, %d failed, %d slow, old %d, %d, %d, score %.3g of %.3g", name,
			route.Target.Answers, route.Target.Failed, route.Target.Slow, route.Old.Answers, route.Old.Failed, route.Old.Slow, route.Score, route.Threshold)
		if route.Worst != "" {
			fmt.Fprintf(&text, ", %.3g without %s", route.ScoreWithoutWorst, route.Worst)
		}
	}
	return text.String()
}
