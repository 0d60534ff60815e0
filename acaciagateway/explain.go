package acaciagateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciabudget"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciaschedule"
	"github.com/acaciaroute/acaciaroute/acaciasite"
	"github.com/acaciaroute/acaciaroute/acaciatoml"
)

type (
	// Explanation says where a request would go now, and why.
	Explanation struct {
		Gateway string    `json:"gateway"`
		At      time.Time `json:"at"`
		// ConfigurationVersion is the version in force, ConfigurationAge the time since it came into force here,
		// and EndpointListAge the time since the last read of the list of endpoints began.
		ConfigurationVersion int64               `json:"configuration_version"`
		ConfigurationAge     acaciatoml.Duration `json:"configuration_age"`
		EndpointListAge      acaciatoml.Duration `json:"endpoint_list_age"`
		// Backlog is how long a request waits for the gateway itself at each step.
		Backlog acaciatoml.Duration `json:"backlog"`
		Route   string              `json:"route"`
		Kind    string              `json:"kind"`
		// Organisation is empty if the route is public or there are no organisations.
		Organisation string `json:"organisation,omitempty"`
		// Rank is the rank in the queue; a lower one goes first.
		Rank int `json:"rank"`
		// Timeout is the time until the request's deadline, FirstByteTarget that until the first byte is due.
		Timeout         acaciatoml.Duration `json:"timeout"`
		FirstByteTarget acaciatoml.Duration `json:"first_byte_target"`
		// Services holds each service that the route may choose, with its share.
		Services []ServiceExplanation `json:"services"`
	}

	// ServiceExplanation says what would become of a request if its route chose a service.
	ServiceExplanation struct {
		Service string  `json:"service"`
		Share   float64 `json:"share"`
		// Outcome and Endpoint are the decision, Refusal what the caller would get if it is refused.
		Outcome  acaciaschedule.Outcome `json:"outcome"`
		Endpoint string                 `json:"endpoint,omitempty"`
		Refusal  *ExplainedRefusal      `json:"refusal,omitempty"`
		// Quota is what is left of the organisation's quota, nil if the request has no organisation.
		Quota *acaciabudget.Quote `json:"quota,omitempty"`
		// RolloutTarget is the version to which the service is being moved, RolloutSide where the request may go:
		// "old", "target", "canary" or "any".
		RolloutTarget string `json:"rollout_target,omitempty"`
		RolloutSide   string `json:"rollout_side,omitempty"`
		// Schedule is what the scheduler would decide, whether or not the request would get that far.
		Schedule acaciaschedule.Explanation `json:"schedule"`
	}

	// ExplainedRefusal is an error that a caller would get.
	ExplainedRefusal struct {
		Code   acaciaroute.Code `json:"code"`
		Name   string           `json:"error"`
		Status int              `json:"status"`
		Detail string           `json:"detail"`
		// RetryAfter is the delay that the caller would be told, at most MaxRetryAfter: it is random in between.
		RetryAfter    acaciatoml.Duration `json:"retry_after,omitempty"`
		MaxRetryAfter acaciatoml.Duration `json:"max_retry_after,omitempty"`
	}
)

// ExplainPath is the path at a gateway's metrics address that tells where a request would go, as a JSON
// Explanation or ExplainError.
const ExplainPath = "/explain"

// explainTimeout bounds the wait of a query for the loop.
const explainTimeout = 2 * time.Second

// serveExplanation answers a query where a request would go.
func (g *Gateway) serveExplanation(w http.ResponseWriter, r *http.Request) {
	query, queryErr := decodeExplainQuery(r.URL.RawQuery)
	if queryErr != nil {
		g.writeExplanation(w, http.StatusBadRequest, queryErr)
		return
	}
	if g.configuration.Load() == nil || !g.endpointsLoaded.Load() {
		g.writeExplanation(w, http.StatusServiceUnavailable, newExplainError(acaciaroute.CodeNotReady, "", "the configuration or the endpoint list has not been loaded yet"))
		return
	}
	select {
	case g.explaining <- struct{}{}:
	default:
		g.writeExplanation(w, http.StatusTooManyRequests, newExplainError(acaciaroute.CodeShed, "", "another explanation is being built"))
		return
	}
	var (
		explanation Explanation
		explainErr  *ExplainError
		abandoned   atomic.Bool
	)
	ended := make(chan bool, 1)
	go func() {
		ran := g.loop.Do(func() {
			if !abandoned.Load() {
				explanation, explainErr = g.explain(query)
			}
		})
		<-g.explaining
		ended <- ran
	}()
	timer := time.NewTimer(explainTimeout)
	defer timer.Stop()
	select {
	case ran := <-ended:
		switch {
		case !ran:
			g.writeExplanation(w, http.StatusServiceUnavailable, newExplainError(acaciaroute.CodeNotReady, "", "the gateway is shutting down"))
		case explainErr != nil:
			g.writeExplanation(w, http.StatusBadRequest, explainErr)
		default:
			g.writeExplanation(w, http.StatusOK, explanation)
		}
	case <-timer.C:
		abandoned.Store(true)
		g.writeExplanation(w, http.StatusServiceUnavailable, newExplainError(acaciaroute.CodeNotReady, "", "the gateway is behind by more than %v", explainTimeout))
	case <-r.Context().Done():
		abandoned.Store(true)
	}
}

// writeExplanation writes an answer.
func (g *Gateway) writeExplanation(w http.ResponseWriter, status int, answer any) {
	text, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, "the explanation can't be encoded", http.StatusInternalServerError)
	} else {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, err = w.Write(append(text, '\n'))
	}
	if err != nil {
		g.recorder.RecordCallFailure("send an explanation", acaciaevent.Event{}, err)
	}
}

// explain returns what would become of a request now. It must be called on the loop, and changes nothing.
func (g *Gateway) explain(query explainQuery) (Explanation, *ExplainError) {
	now := g.loop.Now()
	x := &exchange{gateway: g, metadata: query.metadata, arrivedAt: now, configuration: g.configuration.Load()}
	if err := x.resolveExplained(query); err != nil {
		return Explanation{}, err
	}
	x.setDeadline()
	x.traits = requestTraits(&x.metadata, "", "", "", nil)
	explanation := Explanation{
		Gateway: g.settings.Name, At: now, ConfigurationVersion: x.configuration.Version,
		ConfigurationAge: acaciaevent.RoundDuration(now.Sub(x.configuration.loadedAt)), Backlog: acaciaevent.RoundDuration(g.loop.Backlog()),
		Route: x.route.Name, Kind: x.route.Kind.String(), Organisation: x.organisationName(), Rank: x.rank(),
		Timeout: acaciaevent.RoundDuration(x.deadline.Sub(now)), FirstByteTarget: acaciaevent.RoundDuration(x.route.FirstByteTarget),
	}
	if readAt := g.listReadTime(); !readAt.IsZero() {
		explanation.EndpointListAge = acaciaevent.RoundDuration(now.Sub(readAt))
	}
	for _, share := range x.route.ServiceShares() {
		x.service = share.Service
		explanation.Services = append(explanation.Services, x.explainService(share.Share, now))
	}
	return explanation, nil
}

// resolveExplained finds the route and the organisation as resolveRoute does.
func (x *exchange) resolveExplained(query explainQuery) *ExplainError {
	current := x.configuration
	x.route = current.routeOf(query.host, query.path)
	if x.route == nil {
		return newExplainError(acaciaroute.CodeNoRoute, ExplainTarget, "configuration version %d has no route for host %q and path %q", current.Version, query.host, query.path)
	}
	var named *acaciasite.Organisation
	for i := range current.Organisations {
		if current.Organisations[i].Name == query.organisation {
			named = &current.Organisations[i]
		}
	}
	if query.organisation != "" && named == nil {
		return newExplainError(acaciaroute.CodeUnauthenticated, ExplainOrganisation, "configuration version %d has no organisation %q", current.Version, query.organisation)
	}
	if len(current.Organisations) == 0 || x.route.Public {
		return nil
	}
	x.organisation = named
	if query.organisation != "" {
		return nil
	}
	x.organisation = current.Organisation(x.metadata.Key)
	switch {
	case x.organisation != nil:
		return nil
	case x.metadata.Key == "":
		return newExplainError(acaciaroute.CodeUnauthenticated, ExplainOrganisation, "route %q needs a key or an organisation", x.route.Name)
	}
	return newExplainError(acaciaroute.CodeUnauthenticated, ExplainKey, "configuration version %d does not contain the API key", current.Version)
}

// explainService returns what would become of the request at its service.
func (x *exchange) explainService(share float64, now time.Time) ServiceExplanation {
	g := x.gateway
	schedRequest := x.schedulerRequest()
	g.rollouts.restrict(x, schedRequest)
	explanation := ServiceExplanation{Service: x.service, Share: share}
	if choice := schedRequest.Choice; choice.Target != "" {
		explanation.RolloutTarget, explanation.RolloutSide = choice.Target, sideName(choice)
	}
	explanation.Schedule = g.scheduler.Explain(schedRequest, now)
	explanation.Outcome, explanation.Endpoint = explanation.Schedule.Outcome, explanation.Schedule.Endpoint
	if x.organisation != nil {
		quote := g.quota.Quote(x.newCharge(explanation.Schedule.SpareCapacity), now)
		explanation.Quota = &quote
	}
	if explanation.Refusal = x.explainRefusal(&explanation, now); explanation.Refusal != nil {
		explanation.Outcome, explanation.Endpoint = acaciaschedule.OutcomeRefused, ""
	}
	return explanation
}

// sideName returns where a request may go in a rollout.
func sideName(choice acaciaschedule.VersionChoice) string {
	switch {
	case choice.Canary:
		return "canary"
	case choice.Side == acaciaschedule.SideOld:
		return sideOld
	case choice.Side == acaciaschedule.SideTarget:
		return sideTarget
	}
	return "any"
}

// explainRefusal returns the first refusal that the request would meet, in the order in which serveCaller meets them; nil
// if it would meet none.
func (x *exchange) explainRefusal(explanation *ServiceExplanation, now time.Time) *ExplainedRefusal {
	g, schedule := x.gateway, &explanation.Schedule
	backlog, timeout := g.loop.Backlog(), x.deadline.Sub(now)
	if retryAfter, refused := acaciaschedule.RefusesBehind(backlog, timeout, 0); refused {
		most, _ := acaciaschedule.RefusesBehind(backlog, timeout, 1)
		return newExplainedRefusal(behindError(backlog, retryAfter), most)
	}
	if g.inFlight.wouldRefuse(x.deadline) {
		return newExplainedRefusal(shutdownError(), 0)
	}
	if quota := explanation.Quota; quota != nil && !quota.Accepted {
		return newExplainedRefusal(quotaError(time.Duration(quota.Wait)), 0)
	}
	// The content isn't known, only the segments of the prompt are.
	if ban := g.crashes.WouldRefuse(x.traits[:len(x.traits)-1], now); ban != nil {
		return newExplainedRefusal(x.banError(ban, now), 0)
	}
	if schedule.Outcome == acaciaschedule.OutcomeRefused {
		return newExplainedRefusal(shedError(time.Duration(schedule.RetryAfter)), time.Duration(schedule.MaxRetryAfter))
	}
	return nil
}

// newExplainedRefusal returns the refusal of an error whose delay is random up to the given one; it is fixed if that is
// less.
func newExplainedRefusal(err error, maxRetryAfter time.Duration) *ExplainedRefusal {
	var coded *acaciaroute.Error
	if !errors.As(err, &coded) {
		return nil
	}
	return &ExplainedRefusal{
		Code: coded.Code, Name: coded.Code.String(), Status: coded.Code.HTTPStatus(), Detail: coded.Detail,
		RetryAfter: acaciaevent.RoundDuration(coded.RetryAfter), MaxRetryAfter: acaciaevent.RoundDuration(max(coded.RetryAfter, maxRetryAfter)),
	}
}
