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
		// slowdown is how many times longer than expected the time between tokens is at
		// present.
		slowdown float64
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
	return &Estimator{gapModel: newTokenGapModel(), slowdown: 1, largestBatch: initialLargestBatch, prefillRate: initialPrefillRate}
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

// Slowdown returns how many times longer than expected the time between tokens is at
// present.
func (e *Estimator) Slowdown() float64 {
	return e.slowdown
}

// PrefillRate returns the present prefill speed in tokens per second.
func (e *Estimator) PrefillRate() float64 {
	return e.prefillRate / e.slowdown
}

// PrefillTime returns how long the prefill of a number of tokens takes at present.
func (e *Estimator) PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / e.PrefillRate() * float64(time.Second))
}

// NominalPrefillTime returns how long the prefill of a number of tokens takes at the
// engine's nominal speed, without the present slowdown.
func (e *Estimator) NominalPrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / e.prefillRate * float64(time.Second))
}

// ObserveGap records the time between two tokens of one request, the number of requests in
// the batch, and whether the engine was also prefilling.
func (e *Estimator) ObserveGap(now time.Time, gap time.Duration, running int, prefilling bool) {
	if gap <= 0 || now.Sub(e.lastSample) < gap/2 {
		return
	}
	e.lastSample = now
	e.updateSmoothedGap(gap)
	batchSize := float64(running)
	expected := e.expectedGap(batchSize, prefilling)
	e.updateSlowdown(gap.Seconds() / expected)
	if e.slowdown > maxLearningSlowdown {
		return
	}
	e.largestBatch = max(e.largestBatch*largestBatchDecay, batchSize)
	e.updateGapModel(batchSize, gap.Seconds(), prefilling)
}

// ObserveSilence records that the running requests have produced no token for a while.
func (e *Estimator) ObserveSilence(now time.Time, silence time.Duration, running int, prefilling bool) {
	if silence.Seconds() > minSilentGaps*e.expectedGap(float64(running), prefilling) {
		e.lastSample = now
		e.updateSlowdown(silence.Seconds() / e.expectedGap(float64(running), prefilling))
	}
}

// ObserveIdle records that the engine is idle. The slowdown decays, so that a straggler
// gets a request with which it can show that it has recovered.
func (e *Estimator) ObserveIdle(now time.Time) {
	if e.slowdown > 1 && now.Sub(e.lastSample) > idleDecayInterval {
		e.lastSample = now
		e.slowdown = max(1, e.slowdown/2)
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

// updateSlowdown adds a ratio of observed to expected time to the moving average. The
// average is at least 1, the engine's nominal speed.
func (e *Estimator) updateSlowdown(ratio float64) {
	e.slowdown += slowdownWeight * (ratio - e.slowdown)
	e.slowdown = max(1, e.slowdown)
}

func (e *Estimator) updateSmoothedGap(gap time.Duration) {
	if e.smoothedGap == 0 {
		e.smoothedGap = gap
		return
	}
	e.smoothedGap += time.Duration(gapWeight * float64(gap-e.smoothedGap))
}
