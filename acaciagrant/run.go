package acaciagrant

import (
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaprefix"
	"github.com/acaciaroute/acaciaroute/acaciaqueue"
)

type (
	// run is a request that is running at the endpoint.
	run struct {
		item           *acaciaqueue.Item
		uncachedTokens int
		started        time.Time
		lastToken      time.Time
		outputTokens   int
		chargedTokens  float64
	}
)

const (
	// answerLengthWeight is the weight of the newest answer in the moving average of
	// the answer length of a class.
	answerLengthWeight = 0.1
	// initialAnswerLength is the expected length of an answer in tokens before a class
	// has had any.
	initialAnswerLength = 128.0
)

// StartRun uses a grant: the request is about to be sent to the endpoint. It returns
// false if the grant is no longer held, and then the request must not be sent.
// StartRun compares the clock with the expiry of the grant, because the timers of a
// process that was suspended may not have run yet.
func (g *Granter) StartRun(requestID string, grant uint64) (acaciaroute.Reservation, bool) {
	h, ok := g.heldGrants[requestID]
	if !ok || h.grant != grant || !g.loop.Now().Before(h.expires) {
		return acaciaroute.Reservation{}, false
	}
	g.releaseGrant(requestID)
	now := g.loop.Now()
	r := &run{item: h.item, uncachedTokens: h.uncachedTokens(), started: now}
	g.runs[requestID] = r
	if !g.settings.Plain {
		g.prefilling = append(g.prefilling, r)
		g.prefillBacklog += r.uncachedTokens
	}
	r.chargedTokens = float64(r.uncachedTokens) + g.expectedAnswerLength(h.item)
	g.queue.ChargeTokens(h.item.Class, h.item.Rank, h.item.Organisation, r.chargedTokens)
	g.scheduleTick()
	return h.item.Reservation, true
}

// ObserveTokens records that the endpoint has produced tokens for a request.
func (g *Granter) ObserveTokens(requestID string, tokens int) {
	r, ok := g.runs[requestID]
	if !ok || tokens == 0 {
		return
	}
	now := g.loop.Now()
	if r.outputTokens == 0 {
		g.finishPrefill(r, now)
	} else {
		gap := now.Sub(r.lastToken) / time.Duration(tokens)
		g.estimator.ObserveGap(now, gap, len(g.runs), len(g.prefilling) > 0)
	}
	r.outputTokens += tokens
	r.lastToken = now
	g.reportStraggling()
	g.grantWhileRoom()
}

// EndRun records that a request is no longer running at the endpoint.
func (g *Granter) EndRun(requestID string) {
	r, ok := g.runs[requestID]
	if !ok {
		return
	}
	if r.outputTokens == 0 {
		g.removeFromPrefill(r)
		g.lastPrefillEnd = g.loop.Now()
	}
	delete(g.runs, requestID)
	g.correctCharge(r)
	g.grantWhileRoom()
}

// finishPrefill records the end of a request's prefill: it measures the prefill rate and
// adds the prompt to the predicted prefix cache.
func (g *Granter) finishPrefill(r *run, now time.Time) {
	start := g.prefillStart(r)
	g.removeFromPrefill(r)
	g.lastPrefillEnd = now
	g.estimator.ObservePrefill(r.uncachedTokens, now.Sub(start))
	g.cache.Add(acaciaprefix.BlockSegments(r.item.Prefixes))
}

// prefillStart returns when the engine could begin the prefill of r: when r began, or
// when the previous prefill ended.
func (g *Granter) prefillStart(r *run) time.Time {
	if g.lastPrefillEnd.After(r.started) {
		return g.lastPrefillEnd
	}
	return r.started
}

// removeFromPrefill removes r from the requests in prefill and from the backlog.
func (g *Granter) removeFromPrefill(r *run) {
	index := slices.Index(g.prefilling, r)
	if index < 0 {
		return
	}
	g.prefilling = slices.Delete(g.prefilling, index, index+1)
	g.prefillBacklog -= r.uncachedTokens
}

// correctCharge replaces the expected answer length by the actual one in the
// organisation's account, and updates the expected length for the class.
func (g *Granter) correctCharge(r *run) {
	served := float64(r.uncachedTokens + r.outputTokens)
	g.queue.ChargeTokens(r.item.Class, r.item.Rank, r.item.Organisation, served-r.chargedTokens)
	if r.outputTokens == 0 {
		return
	}
	expected := g.expectedAnswerLength(r.item)
	g.answerLengths[r.item.Class] = expected + answerLengthWeight*(float64(r.outputTokens)-expected)
}

// expectedAnswerLength returns the expected number of output tokens of item: the average
// of its class, at most the requested maximum.
func (g *Granter) expectedAnswerLength(item *acaciaqueue.Item) float64 {
	expected, ok := g.answerLengths[item.Class]
	if !ok {
		expected = initialAnswerLength
	}
	if item.OutputTokens > 0 {
		expected = min(expected, float64(item.OutputTokens))
	}
	return expected
}

// strictestTokenGap returns the shortest target for the time between tokens among the
// running requests, or 0 if none has a target.
func (g *Granter) strictestTokenGap() time.Duration {
	var strictest time.Duration
	for _, r := range g.runs {
		gap := r.item.TokenGap
		if gap > 0 && (strictest == 0 || gap < strictest) {
			strictest = gap
		}
	}
	return strictest
}

// observeSilence reports the time since the newest token to the estimator, so that
// an engine that has stopped producing tokens is detected before its next token
// arrives.
func (g *Granter) observeSilence() {
	now := g.loop.Now()
	var newest time.Time
	decoding := 0
	for _, r := range g.runs {
		if r.outputTokens == 0 {
			continue
		}
		decoding++
		if r.lastToken.After(newest) {
			newest = r.lastToken
		}
	}
	if decoding > 0 {
		g.estimator.ObserveSilence(now, now.Sub(newest), len(g.runs), len(g.prefilling) > 0)
	}
	if len(g.runs) == 0 {
		g.estimator.ObserveIdle(now)
	}
}
