package acaciaschedule

import (
	"time"

	"github.com/acaciaroute/acaciaroute/acaciafit"
)

type (
	// lateEvent is a time in which the answers of an endpoint were late together. What they say
	// of its speed is bounded: a busy machine or a suspended process delays all that wait.
	lateEvent struct {
		// since is when the first byte of the first of them arrived; zero if there is no event.
		since time.Time
		// slowdownBefore is the endpoint's slowdown before the event.
		slowdownBefore float64
	}
)

// firstByteModel predicts the time to the first byte of a response from the size of the
// prompt, by linear regression over the observations of a service.
type firstByteModel struct {
	line acaciafit.Line
	// The fit of line is kept, because each waiting request needs it at each decision.
	empty               bool
	meanX, meanY, slope float64
}

const (
	// modelDecay is the factor by which each observation reduces the weight of the older
	// ones.
	modelDecay = 0.99
	// priorBaseSeconds and priorSecondsPerToken describe a service without observations.
	priorBaseSeconds     = 0.03
	priorSecondsPerToken = 0.00003
	// priorTokenSpread, in tokens, and priorWeight determine the weight of the prior.
	priorTokenSpread = 500
	priorWeight      = 4

	// endpointAverageWeight is the weight of a new observation in an endpoint's moving
	// averages.
	endpointAverageWeight = 0.25
	minSlowdown           = 0.2
	maxSlowdown           = 12
	// maxLateFactor is the largest factor by which the answers of one late event raise the
	// expected time to the first byte: what one adds to the average of an endpoint of usual
	// speed. Without it the first answer of a service, late by 5 s, raised it by a factor of 83.
	maxLateFactor = 1 + endpointAverageWeight*(maxSlowdown-1)
	// loadPenalty is how much slower a fully occupied endpoint is than an idle one, as a
	// share.
	loadPenalty = 0.5
	// silenceTolerance is how many times the expected time an endpoint may take to the
	// first byte before it counts as slower.
	silenceTolerance = 2
)

func newFirstByteModel() firstByteModel {
	m := firstByteModel{line: acaciafit.New(acaciafit.Settings{
		Decay: modelDecay, PriorSlope: priorSecondsPerToken, PriorSumOfSquares: priorWeight * priorTokenSpread * priorTokenSpread,
	})}
	m.fit()
	return m
}

// add adds an observation.
func (m *firstByteModel) add(tokens, seconds float64) {
	m.line.Add(tokens, seconds)
	m.fit()
}

func (m *firstByteModel) fit() {
	m.empty = m.line.Empty()
	m.meanX, m.meanY, m.slope = m.line.Fit()
}

// predictSeconds returns the predicted time to the first byte, in seconds, at an idle
// endpoint of usual speed.
func (m *firstByteModel) predictSeconds(tokens float64) float64 {
	if m.empty {
		return priorBaseSeconds + priorSecondsPerToken*tokens
	}
	return max(m.meanY+max(m.slope, 0)*(tokens-m.meanX), m.meanY/4)
}

// expectedFirstByte returns the predicted time to the first byte at the endpoint under its
// present load.
func (svc *service) expectedFirstByte(e *endpoint, request *Request) time.Duration {
	occupancy := float64(e.running()) / float64(e.info.Slots)
	predicted := svc.firstByteModel.predictSeconds(float64(e.tokensToPrefill(request))) * svc.slowdown(e) * (1 + loadPenalty*occupancy)
	return time.Duration(predicted * float64(time.Second))
}

// slowdown returns how many times longer an endpoint takes than is usual for its service.
// An endpoint without observations counts as usual.
func (svc *service) slowdown(e *endpoint) float64 {
	if e.observations == 0 {
		return 1
	}
	return e.slowdown
}

// silencePenalty returns the factor by which the expected time increases while the oldest
// unanswered request takes longer than expected. It reveals a straggler before any of its
// responses arrive.
func (svc *service) silencePenalty(e *endpoint, now time.Time) float64 {
	if len(e.unanswered) == 0 {
		return 1
	}
	oldest := e.unanswered[0]
	expected := svc.firstByteModel.predictSeconds(float64(oldest.prefillTokens)) * svc.slowdown(e) * (1 + loadPenalty)
	return max(1, now.Sub(oldest.placedAt).Seconds()/(silenceTolerance*expected))
}

// usualTime returns the time to the first byte that is usual at the endpoint for a request that it runs.
func (svc *service) usualTime(e *endpoint, request *Request) time.Duration {
	predicted := svc.firstByteModel.predictSeconds(float64(request.prefillTokens)) * svc.slowdown(e) * (1 + loadPenalty*request.occupancy)
	return time.Duration(predicted * float64(time.Second))
}

// recordFirstByte adds an observed time to the first byte to the averages of the endpoint
// and of the service; occupancy is the endpoint's load when the request was assigned to it.
func (svc *service) recordFirstByte(e *endpoint, request *Request, elapsed time.Duration, occupancy float64) {
	usual := svc.firstByteModel.predictSeconds(float64(request.prefillTokens)) * (1 + loadPenalty*occupancy)
	ratio := min(max(elapsed.Seconds()/usual, minSlowdown), maxSlowdown)
	slowdown := ratio
	if e.observations > 0 {
		slowdown = e.slowdown + endpointAverageWeight*(ratio-e.slowdown)
	}
	seconds := elapsed.Seconds()
	if e.lateEvent.covers(request, elapsed, svc.slowdown(e), usual) {
		// Late answers to requests placed after the event may have raised the slowdown beyond its bound.
		limit := max(e.slowdown, maxLateFactor*e.lateEvent.slowdownBefore)
		slowdown = min(slowdown, limit)
		seconds = min(seconds, limit*usual)
	}
	e.slowdown = slowdown
	e.observations++
	svc.firstByteModel.add(float64(request.prefillTokens), seconds/(e.slowdown*(1+loadPenalty*occupancy)))
}

// covers reports whether an answer is one of those that are late together, and begins the event
// with the first of them; it ends with an answer in time. Requests that were placed after a late
// answer are no part of the event: if they are late, too, the endpoint is slow. slowdown is the
// endpoint's before the answer, usual the time in seconds of a usual endpoint.
func (l *lateEvent) covers(request *Request, elapsed time.Duration, slowdown, usual float64) bool {
	answered := request.placedAt.Add(elapsed)
	switch {
	case elapsed.Seconds() <= maxLateFactor*slowdown*usual && (l.since.IsZero() || !request.placedAt.Before(l.since)):
		*l = lateEvent{}
		return false
	case l.since.IsZero():
		*l = lateEvent{since: answered, slowdownBefore: slowdown}
	}
	return request.placedAt.Before(l.since)
}
