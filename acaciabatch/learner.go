package acaciabatch

import (
	"math"
	"time"
)

type (
	// Learner estimates the speed of one engine and derives the limit of its running batch.
	// It is not safe for concurrent use.
	Learner struct {
		gapModel tokenGapModel
		// prefillCost is the time in seconds by which prefill lengthens a step.
		prefillCost float64
		// prefillShare is the share of steps that include prefill.
		prefillShare float64
		// slowdown is how many times longer than expected the time between tokens is at
		// present.
		slowdown     float64
		largestBatch float64
		gap          time.Duration
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

// New returns a Learner without observations.
func New() *Learner {
	return &Learner{gapModel: newTokenGapModel(), slowdown: 1, largestBatch: initialLargestBatch, prefillRate: initialPrefillRate}
}

// Limit returns the number of running requests up to which the mean time between tokens
// stays within the target. A target of zero stands for DefaultTokenGap.
func (l *Learner) Limit(target time.Duration) int {
	if target == 0 {
		target = DefaultTokenGap
	}
	base, slope := l.gapModel.coefficients()
	available := targetUseShare*target.Seconds()/l.slowdown - base - l.prefillShare*l.prefillCost
	limit := min(available/slope, batchGrowthFactor*l.largestBatch+batchGrowthOffset, maxLimit)
	return int(max(limit, minLimit))
}

// Gap returns the smoothed time between tokens.
func (l *Learner) Gap() time.Duration {
	return l.gap
}

// Straggling reports whether tokens arrive so slowly that the engine counts as a straggler.
func (l *Learner) Straggling() bool {
	return l.slowdown >= StragglerSlowdown
}

// Slowdown returns how many times longer than expected the time between tokens is at
// present.
func (l *Learner) Slowdown() float64 {
	return l.slowdown
}

// PrefillRate returns the present prefill speed in tokens per second.
func (l *Learner) PrefillRate() float64 {
	return l.prefillRate / l.slowdown
}

// PrefillTime returns how long the prefill of a number of tokens takes at present.
func (l *Learner) PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / l.PrefillRate() * float64(time.Second))
}

// OwnPrefillTime returns how long the prefill of a number of tokens takes at the engine's
// nominal speed, without the present slowdown.
func (l *Learner) OwnPrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / l.prefillRate * float64(time.Second))
}

// ObserveGap records the time between two tokens of one request, the number of requests in
// the batch, and whether the engine was also prefilling.
func (l *Learner) ObserveGap(now time.Time, gap time.Duration, running int, prefilling bool) {
	if gap <= 0 || now.Sub(l.lastSample) < gap/2 {
		return
	}
	l.lastSample = now
	l.updateSmoothedGap(gap)
	batchSize := float64(running)
	expected := l.expectedGap(batchSize, prefilling)
	l.updateSlowdown(gap.Seconds() / expected)
	if l.slowdown > maxLearningSlowdown {
		return
	}
	l.largestBatch = max(l.largestBatch*largestBatchDecay, batchSize)
	l.updateGapModel(batchSize, gap.Seconds(), prefilling)
}

// ObserveSilence records that the running requests have produced no token for a while.
func (l *Learner) ObserveSilence(now time.Time, silence time.Duration, running int, prefilling bool) {
	if silence.Seconds() > minSilentGaps*l.expectedGap(float64(running), prefilling) {
		l.lastSample = now
		l.updateSlowdown(silence.Seconds() / l.expectedGap(float64(running), prefilling))
	}
}

// ObserveIdle records that the engine is idle. The slowdown decays, so that a straggler
// gets a request with which it can show that it has recovered.
func (l *Learner) ObserveIdle(now time.Time) {
	if l.slowdown > 1 && now.Sub(l.lastSample) > idleDecayInterval {
		l.lastSample = now
		l.slowdown = max(1, l.slowdown/2)
	}
}

// ObservePrefill records how long the engine spent on the prefill of a number of tokens.
// Short times are accumulated before they count, because the ends of prompts that were
// prefilled in one step are observed within microseconds of each other.
func (l *Learner) ObservePrefill(tokens int, elapsed time.Duration) {
	if l.slowdown > maxLearningSlowdown {
		return
	}
	l.pendingPrefillTokens += tokens
	l.pendingPrefillTime += elapsed
	if l.pendingPrefillTime < minPrefillSample {
		return
	}
	rate := float64(l.pendingPrefillTokens) / l.pendingPrefillTime.Seconds()
	l.prefillRate += prefillRateWeight * (rate - l.prefillRate)
	l.pendingPrefillTokens = 0
	l.pendingPrefillTime = 0
}

// expectedGap returns the time between tokens in seconds at the engine's nominal speed.
func (l *Learner) expectedGap(running float64, prefilling bool) float64 {
	base, slope := l.gapModel.coefficients()
	gap := base + slope*running
	if prefilling {
		gap += l.prefillCost
	}
	return math.Max(gap, minSlopeSeconds)
}

// updateGapModel adds a step to the gap model or, if it included prefill, to the cost of
// prefill.
func (l *Learner) updateGapModel(running, gap float64, prefilling bool) {
	if !prefilling {
		l.prefillShare -= prefillShareWeight * l.prefillShare
		l.gapModel.Add(running, gap)
		return
	}
	l.prefillShare += prefillShareWeight * (1 - l.prefillShare)
	base, slope := l.gapModel.coefficients()
	l.prefillCost += prefillCostWeight * (max(0, gap-base-slope*running) - l.prefillCost)
}

// updateSlowdown adds a ratio of observed to expected time to the moving average. The
// average is at least 1, the engine's nominal speed.
func (l *Learner) updateSlowdown(ratio float64) {
	l.slowdown += slowdownWeight * (ratio - l.slowdown)
	l.slowdown = max(1, l.slowdown)
}

func (l *Learner) updateSmoothedGap(gap time.Duration) {
	if l.gap == 0 {
		l.gap = gap
		return
	}
	l.gap += time.Duration(gapWeight * float64(gap-l.gap))
}
