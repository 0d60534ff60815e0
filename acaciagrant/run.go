package acaciagrant

import (
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaqueue"
)

type (
	// run is a request in the endpoint.
	run struct {
		item      *acaciaqueue.Item
		uncached  int
		started   time.Time
		lastToken time.Time
		tokens    int
		charged   float64
	}
)

const (
	// outputWeight is the weight of a new answer length in the expected one.
	outputWeight = 0.1
	// initialOutput is the expected length of an answer in tokens.
	initialOutput = 128.0
)

// Begin uses a grant: the request goes to the endpoint now. It returns false
// when the grant is no longer held, and then the request must not be sent. A process
// that was paused goes by the time, because its timers may not have run yet.
func (g *Granter) Begin(requestID string, grant uint64) (acaciaroute.Reservation, bool) {
	h, ok := g.held[requestID]
	if !ok || h.grant != grant || !g.loop.Now().Before(h.expires) {
		return acaciaroute.Reservation{}, false
	}
	g.release(requestID)
	now := g.loop.Now()
	r := &run{item: h.item, uncached: h.uncached(), started: now}
	g.runs[requestID] = r
	if !g.settings.Plain {
		g.prefill = append(g.prefill, r)
		g.backlog += r.uncached
	}
	r.charged = float64(r.uncached) + g.expectedOutput(h.item)
	g.queue.Charge(h.item.Class, h.item.Rank, h.item.Organisation, r.charged)
	g.tickLater()
	return h.item.Reservation, true
}

// Token notes that the endpoint has produced tokens of a request.
func (g *Granter) Token(requestID string, tokens int) {
	r, ok := g.runs[requestID]
	if !ok || tokens == 0 {
		return
	}
	now := g.loop.Now()
	if r.tokens == 0 {
		g.prefilled(r, now)
	} else {
		gap := now.Sub(r.lastToken) / time.Duration(tokens)
		g.learner.ObserveGap(now, gap, len(g.runs), len(g.prefill) > 0)
	}
	r.tokens += tokens
	r.lastToken = now
	g.noteSpeed()
	g.pump()
}

// End notes that a request has left the endpoint.
func (g *Granter) End(requestID string) {
	r, ok := g.runs[requestID]
	if !ok {
		return
	}
	if r.tokens == 0 {
		g.leavePrefill(r)
		g.lastPrefilled = g.loop.Now()
	}
	delete(g.runs, requestID)
	g.settle(r)
	g.pump()
}

// prefilled notes the end of a request's prefill.
func (g *Granter) prefilled(r *run, now time.Time) {
	since := g.prefillSince(r)
	g.leavePrefill(r)
	g.lastPrefilled = now
	g.learner.ObservePrefill(r.uncached, now.Sub(since))
	g.cache.Add(r.item.Prefixes)
}

// prefillSince returns when the engine could begin with the prefill of r: at its
// start, or when the one before it was done.
func (g *Granter) prefillSince(r *run) time.Time {
	if g.lastPrefilled.After(r.started) {
		return g.lastPrefilled
	}
	return r.started
}

func (g *Granter) leavePrefill(r *run) {
	index := slices.Index(g.prefill, r)
	if index < 0 {
		return
	}
	g.prefill = slices.Delete(g.prefill, index, index+1)
	g.backlog -= r.uncached
}

// settle corrects the organisation's account by the true length of the answer.
func (g *Granter) settle(r *run) {
	served := float64(r.uncached + r.tokens)
	g.queue.Charge(r.item.Class, r.item.Rank, r.item.Organisation, served-r.charged)
	if r.tokens == 0 {
		return
	}
	expected := g.expectedOutput(r.item)
	g.outputs[r.item.Class] = expected + outputWeight*(float64(r.tokens)-expected)
}

func (g *Granter) expectedOutput(item *acaciaqueue.Item) float64 {
	expected, ok := g.outputs[item.Class]
	if !ok {
		expected = initialOutput
	}
	if item.OutputTokens > 0 {
		expected = min(expected, float64(item.OutputTokens))
	}
	return expected
}

// strictestGap returns the strictest target between tokens in the batch.
func (g *Granter) strictestGap() time.Duration {
	var strictest time.Duration
	for _, r := range g.runs {
		gap := r.item.TokenGap
		if gap > 0 && (strictest == 0 || gap < strictest) {
			strictest = gap
		}
	}
	return strictest
}

// watchSilence notices an engine that has stopped producing tokens before the
// next token shows it.
func (g *Granter) watchSilence() {
	now := g.loop.Now()
	var newest time.Time
	decoding := 0
	for _, r := range g.runs {
		if r.tokens == 0 {
			continue
		}
		decoding++
		if r.lastToken.After(newest) {
			newest = r.lastToken
		}
	}
	if decoding > 0 {
		g.learner.ObserveSilence(now, now.Sub(newest), len(g.runs), len(g.prefill) > 0)
	}
	if len(g.runs) == 0 {
		g.learner.ObserveIdle(now)
	}
}
