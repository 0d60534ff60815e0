package acaciabatch

import (
	"math"
	"time"
)

type (
	// Estimator estimates the speed of one engine and derives the limit of its
	// running batch. It is not safe for concurrent use.
	Estimator struct {
		gapModel tokenGapModel
		// prefillCost is the time in seconds by which prefill lengthens a step.
		prefillCost float64
		// prefillShare is the share of steps that include prefill.
		prefillShare float64
		// slowdown is how many times longer than expected the time between tokens is, as far
		// as one late event tells. presentSlowdown is the same without that bound.
		slowdown, presentSlowdown float64
		// tokenSlowdown is the slowdown when the newest token arrived. It bounds how far the
		// silence since then, and the token that ends it, raise the slowdown.
		tokenSlowdown float64
		// largestBatch is the largest batch observed, which decays with each observation.
		largestBatch float64
		smoothedGap  time.Duration
		lastSample   time.Time
		prefillRate  float64
		// pendingPrefillTokens and pendingPrefillTime accumulate until they make a sample
		// of the prefill rate.
		pendingPrefillTokens int
		pendingPrefillTime   time.Duration
	}
)

const (
	// DefaultTokenGap is the target time between tokens if no class sets one.
	DefaultTokenGap = 100 * time.Millisecond

	// targetUseShare is the share of the target time between tokens that the limit may use.
	targetUseShare = 0.9
	// gapWeight is the weight of a new observation in the smoothed gap.
	gapWeight = 0.25
	// prefillShareWeight is the weight of a new step in prefillShare.
	prefillShareWeight = 0.05
	prefillCostWeight  = 0.05
	// prefillRateWeight is the weight of a new sample in the prefill rate.
	prefillRateWeight = 0.15
	// slowdownWeight is the weight of a new observation in the slowdown.
	slowdownWeight = 0.35
	// maxLearningSlowdown is the slowdown above which steps reveal nothing about the
	// engine's nominal speed.
	maxLearningSlowdown = 2.0
	// StragglerSlowdown is the slowdown from which an engine counts as a straggler.
	StragglerSlowdown = 2.5

	// maxLateFactor is the largest factor by which one late event, a silence with the token
	// that ends it, raises the slowdown. It lets an engine become a straggler at the first
	// late token, but not one that refuses long prompts.
	maxLateFactor = StragglerSlowdown
	// minStop is the silence from which an engine counts as stopped: the slowdown is no
	// longer bounded by maxLateFactor until the next token. Silences of some tenths of a
	// second also come from a busy machine.
	minStop = time.Second

	// batchGrowthFactor and batchGrowthOffset bound by how much the limit may exceed the
	// largest batch observed.
	batchGrowthFactor   = 1.25
	batchGrowthOffset   = 2.0
	initialLargestBatch = 8.0
	largestBatchDecay   = 0.9995
	maxLimit            = 512.0
	minLimit            = 1.0
	idleDecayInterval   = time.Second

	initialPrefillRate = 4000.0
	minPrefillSample   = 20 * time.Millisecond
	// minSilentGaps is the number of expected gaps that must pass without a token before
	// the silence counts as a slowdown.
	minSilentGaps = 3
)

// New returns an Estimator without observations.
func New() *Estimator {
	return &Estimator{gapModel: newTokenGapModel(), slowdown: 1, presentSlowdown: 1, tokenSlowdown: 1, largestBatch: initialLargestBatch, prefillRate: initialPrefillRate}
}

// Limit returns the number of running requests up to which the mean time between tokens
// stays within the target. A target of zero stands for DefaultTokenGap.
func (e *Estimator) Limit(target time.Duration) int {
	if target == 0 {
		target = DefaultTokenGap
	}
	base, slope := e.gapModel.coefficients()
	available := targetUseShare*target.Seconds()/e.slowdown - base - e.prefillShare*e.prefillCost
	limit := min(available/slope, batchGrowthFactor*e.largestBatch+batchGrowthOffset, maxLimit)
	return int(max(limit, minLimit))
}

// TokenGap returns the smoothed time between tokens.
func (e *Estimator) TokenGap() time.Duration {
	return e.smoothedGap
}

// Straggling reports whether tokens arrive so slowly that the engine counts as a straggler.
func (e *Estimator) Straggling() bool {
	return e.slowdown >= StragglerSlowdown
}

// Slowdown returns how many times longer than expected the time between tokens is. One late
// event raises it by at most maxLateFactor.
func (e *Estimator) Slowdown() float64 {
	return e.slowdown
}

// PresentSlowdown returns how many times longer than expected the time between tokens is,
// without a bound on what one late event adds. It tells how long the work that the engine
// already has is delayed, not how long new work will take.
func (e *Estimator) PresentSlowdown() float64 {
	return e.presentSlowdown
}

// PrefillRate returns the expected prefill speed in tokens per second.
func (e *Estimator) PrefillRate() float64 {
	return e.prefillRate / e.slowdown
}

// PrefillTime returns how long the prefill of a number of tokens is expected to take.
func (e *Estimator) PrefillTime(tokens int) time.Duration {
	return toDuration(float64(tokens) / e.PrefillRate())
}

// PresentPrefillTime returns how long the prefill of a number of tokens takes if the engine
// stays as slow as it is at present.
func (e *Estimator) PresentPrefillTime(tokens int) time.Duration {
	return time.Duration(e.presentSlowdown * float64(e.NominalPrefillTime(tokens)))
}

// NominalPrefillTime returns how long the prefill of a number of tokens takes at the
// engine's nominal speed, without the present slowdown.
func (e *Estimator) NominalPrefillTime(tokens int) time.Duration {
	return toDuration(float64(tokens) / e.prefillRate)
}

// ObserveGap records the time between two tokens of one request, the number of requests in
// the batch, and whether the engine was also prefilling. It ignores a time that has been
// recorded with another token of the same step, or as silence.
func (e *Estimator) ObserveGap(now time.Time, gap time.Duration, running int, prefilling bool) {
	if gap <= 0 || now.Sub(e.lastSample) < gap/2 {
		e.endLateEvent()
		return
	}
	e.lastSample = now
	batchSize := float64(running)
	expected := e.expectedGap(batchSize, prefilling)
	e.updateSlowdown(gap.Seconds() / expected)
	e.endLateEvent()
	e.updateSmoothedGap(min(gap, toDuration(max(maxLateFactor, e.slowdown)*expected)))
	if e.slowdown > maxLearningSlowdown {
		return
	}
	e.largestBatch = max(e.largestBatch*largestBatchDecay, batchSize)
	e.updateGapModel(batchSize, gap.Seconds(), prefilling)
}

// ObserveSilence records that the running requests have produced no token for a while. Its
// calls between two tokens are one late event, together with the second token, until the
// silence reaches minStop.
func (e *Estimator) ObserveSilence(now time.Time, silence time.Duration, running int, prefilling bool) {
	ratio := silence.Seconds() / e.expectedGap(float64(running), prefilling)
	if ratio <= minSilentGaps {
		return
	}
	e.lastSample = now
	e.updateSlowdown(ratio)
	if silence < minStop {
		e.boundSlowdown()
	}
}

// ObserveIdle records that the engine is idle. The slowdown decays, so that a straggler
// gets a request with which it can show that it has recovered.
func (e *Estimator) ObserveIdle(now time.Time) {
	if max(e.slowdown, e.presentSlowdown) > 1 && now.Sub(e.lastSample) > idleDecayInterval {
		e.lastSample = now
		e.slowdown = max(1, e.slowdown/2)
		e.presentSlowdown = max(1, e.presentSlowdown/2)
		e.tokenSlowdown = e.slowdown
	}
}

// ObservePrefill records how long the engine spent on the prefill of a number of tokens.
// Short times are accumulated before they count, because the ends of prompts that were
// prefilled in one step are observed within microseconds of each other.
func (e *Estimator) ObservePrefill(tokens int, elapsed time.Duration) {
	if e.slowdown > maxLearningSlowdown {
		return
	}
	e.pendingPrefillTokens += tokens
	e.pendingPrefillTime += elapsed
	if e.pendingPrefillTime < minPrefillSample {
		return
	}
	rate := float64(e.pendingPrefillTokens) / e.pendingPrefillTime.Seconds()
	e.prefillRate += prefillRateWeight * (rate - e.prefillRate)
	e.pendingPrefillTokens = 0
	e.pendingPrefillTime = 0
}

// expectedGap returns the time between tokens in seconds at the engine's nominal speed.
func (e *Estimator) expectedGap(running float64, prefilling bool) float64 {
	base, slope := e.gapModel.coefficients()
	gap := base + slope*running
	if prefilling {
		gap += e.prefillCost
	}
	return math.Max(gap, minSlopeSeconds)
}

// updateGapModel adds a step to the gap model or, if it included prefill, to the cost of
// prefill.
func (e *Estimator) updateGapModel(running, gap float64, prefilling bool) {
	if !prefilling {
		e.prefillShare -= prefillShareWeight * e.prefillShare
		e.gapModel.Add(running, gap)
		return
	}
	e.prefillShare += prefillShareWeight * (1 - e.prefillShare)
	base, slope := e.gapModel.coefficients()
	e.prefillCost += prefillCostWeight * (max(0, gap-base-slope*running) - e.prefillCost)
}

// updateSlowdown adds a ratio of observed to expected time to the moving averages.
func (e *Estimator) updateSlowdown(ratio float64) {
	e.slowdown = averageSlowdown(e.slowdown, ratio)
	e.presentSlowdown = averageSlowdown(e.presentSlowdown, ratio)
}

// averageSlowdown adds a ratio to a moving average. The average is at least 1, the engine's
// nominal speed.
func averageSlowdown(average, ratio float64) float64 {
	return max(1, average+slowdownWeight*(ratio-average))
}

// boundSlowdown limits the slowdown to what one late event may make of it.
func (e *Estimator) boundSlowdown() {
	e.slowdown = min(e.slowdown, maxLateFactor*e.tokenSlowdown)
}

// endLateEvent records that a token has arrived, which ends a late event.
func (e *Estimator) endLateEvent() {
	e.boundSlowdown()
	e.tokenSlowdown = e.slowdown
}

func (e *Estimator) updateSmoothedGap(gap time.Duration) {
	if e.smoothedGap == 0 {
		e.smoothedGap = gap
		return
	}
	e.smoothedGap += time.Duration(gapWeight * float64(gap-e.smoothedGap))
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
