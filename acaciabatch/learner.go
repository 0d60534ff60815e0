package acaciabatch

import (
	"math"
	"time"
)

type (
	// Learner keeps what is known of one engine's speed, and from it the limit of
	// its running batch. It is not safe for concurrent use.
	Learner struct {
		steps fit
		// prefillCost is by how many seconds prefill lengthens a step.
		prefillCost float64
		// prefillShare is the share of steps with prefill in them.
		prefillShare float64
		// slowdown is how many times slower than expected tokens come now.
		slowdown    float64
		most        float64
		gap         time.Duration
		lastSample  time.Time
		prefillRate float64
		// prefillTokens and prefillTime add up to the next sample of the rate.
		prefillTokens int
		prefillTime   time.Duration
	}
)

const (
	// DefaultTokenGap is the target between tokens when no class states one.
	DefaultTokenGap = 100 * time.Millisecond

	// use is the share of the target between tokens that the limit aims at.
	use = 0.9
	// gapWeight is the weight of a new observation in the smoothed gap.
	gapWeight = 0.25
	// shareWeight is the weight of a new step in the share with prefill.
	shareWeight = 0.05
	costWeight  = 0.05
	// rateWeight is the weight of a new observation in the prefill rate.
	rateWeight = 0.15
	// slowWeight is the weight of a new observation in the slowdown.
	slowWeight = 0.35
	// learnBelow is the slowdown above which steps teach nothing about the
	// engine's own speed.
	learnBelow = 2.0
	// StragglerFactor is the slowdown from which an engine counts as a straggler.
	StragglerFactor = 2.5

	// explore is by how much the limit may exceed the largest batch seen.
	explore        = 1.25
	exploreMore    = 2.0
	initialMost    = 8.0
	mostFade       = 0.9995
	maxLimit       = 512.0
	minLimit       = 1.0
	forgetInterval = time.Second

	initialPrefillRate = 4000.0
	minPrefillTime     = 20 * time.Millisecond
	// silentGaps is how many expected gaps without a token count as slowness.
	silentGaps = 3
)

// New returns a learner that knows nothing.
func New() *Learner {
	return &Learner{steps: newFit(), slowdown: 1, most: initialMost, prefillRate: initialPrefillRate}
}

// Limit returns the number of requests with which the mean time between tokens
// stays within a target.
func (l *Learner) Limit(target time.Duration) int {
	if target == 0 {
		target = DefaultTokenGap
	}
	base, slope := l.steps.line()
	room := use*target.Seconds()/l.slowdown - base - l.prefillShare*l.prefillCost
	limit := min(room/slope, explore*l.most+exploreMore, maxLimit)
	return int(max(limit, minLimit))
}

// Gap returns the smoothed time between tokens.
func (l *Learner) Gap() time.Duration {
	return l.gap
}

// Straggling reports whether tokens come much slower than expected.
func (l *Learner) Straggling() bool {
	return l.slowdown >= StragglerFactor
}

// Slowdown returns how many times slower than expected tokens come now.
func (l *Learner) Slowdown() float64 {
	return l.slowdown
}

// PrefillRate returns the present prefill speed in tokens per second.
func (l *Learner) PrefillRate() float64 {
	return l.prefillRate / l.slowdown
}

// PrefillTime returns how long the prefill of tokens takes now.
func (l *Learner) PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / l.PrefillRate() * float64(time.Second))
}

// OwnPrefillTime returns how long the prefill of tokens takes at the engine's own
// speed.
func (l *Learner) OwnPrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / l.prefillRate * float64(time.Second))
}

// ObserveGap notes the time between two tokens of one request while running
// requests were in the batch, and whether the engine was also prefilling.
func (l *Learner) ObserveGap(now time.Time, gap time.Duration, running int, prefilling bool) {
	if gap <= 0 || now.Sub(l.lastSample) < gap/2 {
		return
	}
	l.lastSample = now
	l.smooth(gap)
	n := float64(running)
	expected := l.expected(n, prefilling)
	l.slow(gap.Seconds() / expected)
	if l.slowdown > learnBelow {
		return
	}
	l.most = max(l.most*mostFade, n)
	l.learn(n, gap.Seconds(), prefilling)
}

// ObserveSilence notes that running requests have produced nothing for a while.
func (l *Learner) ObserveSilence(now time.Time, silence time.Duration, running int, prefilling bool) {
	if silence.Seconds() > silentGaps*l.expected(float64(running), prefilling) {
		l.lastSample = now
		l.slow(silence.Seconds() / l.expected(float64(running), prefilling))
	}
}

// ObserveIdle notes that the engine has nothing to do: a slowdown fades, so that
// a straggler gets a request by which it can show that it has recovered.
func (l *Learner) ObserveIdle(now time.Time) {
	if l.slowdown > 1 && now.Sub(l.lastSample) > forgetInterval {
		l.lastSample = now
		l.slowdown = max(1, l.slowdown/2)
	}
}

// ObservePrefill notes that the engine spent d on the prefill of tokens. Short
// times are added up first, because prompts that were prefilled in one step are
// seen within microseconds of each other.
func (l *Learner) ObservePrefill(tokens int, d time.Duration) {
	if l.slowdown > learnBelow {
		return
	}
	l.prefillTokens += tokens
	l.prefillTime += d
	if l.prefillTime < minPrefillTime {
		return
	}
	rate := float64(l.prefillTokens) / l.prefillTime.Seconds()
	l.prefillRate += rateWeight * (rate - l.prefillRate)
	l.prefillTokens = 0
	l.prefillTime = 0
}

// expected returns the time between tokens in seconds at the engine's own speed.
func (l *Learner) expected(running float64, prefilling bool) float64 {
	base, slope := l.steps.line()
	gap := base + slope*running
	if prefilling {
		gap += l.prefillCost
	}
	return math.Max(gap, minSlope)
}

func (l *Learner) learn(running, gap float64, prefilling bool) {
	if !prefilling {
		l.prefillShare -= shareWeight * l.prefillShare
		l.steps.Add(running, gap)
		return
	}
	l.prefillShare += shareWeight * (1 - l.prefillShare)
	base, slope := l.steps.line()
	l.prefillCost += costWeight * (max(0, gap-base-slope*running) - l.prefillCost)
}

// slow smooths the slowdown; a ratio below one means the engine's own speed.
func (l *Learner) slow(ratio float64) {
	l.slowdown += slowWeight * (ratio - l.slowdown)
	l.slowdown = max(1, l.slowdown)
}

func (l *Learner) smooth(gap time.Duration) {
	if l.gap == 0 {
		l.gap = gap
		return
	}
	l.gap += time.Duration(gapWeight * float64(gap-l.gap))
}
