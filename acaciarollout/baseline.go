package acaciarollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

type (
	// baseline is the share of bad answers that the old version gives on a route. The greatest of several
	// recent times counts, so that a fault that hits both versions speaks against neither.
	baseline struct {
		// whole holds all answers of each endpoint. In recent they lose weight with time, in newest
		// within a moment.
		whole, recent, newest map[string]sample
	}

	// sample is a weighted number of answers.
	sample struct {
		answers, bad float64
	}
)

const (
	// minExpected is the least share of bad answers that is expected of a good version.
	minExpected = 0.02
	// recentTime and newestTime are the time constants by which the old version's answers lose weight.
	// With recentTime alone, 2 of 100 good versions were rolled back for 2 s in which both versions failed.
	recentTime = 4 * time.Second
	newestTime = 400 * time.Millisecond
	// priorAnswers is the weight of the share since the order beside the recent answers, and
	// of minExpected beside the answers since the order.
	priorAnswers = 20
	// newestPriorAnswers is the weight of the share of recent answers beside the newest ones.
	newestPriorAnswers = 10
	// minWeight is the weight below which an endpoint's answers are forgotten.
	minWeight = 0.01
	// dispersionDeviations is the number of standard deviations of the dispersion that chance explains.
	dispersionDeviations = 2
	// minSampleAnswers is the least number of answers of an endpoint that counts for the dispersion.
	minSampleAnswers = 5
)

func newBaseline() *baseline {
	return &baseline{whole: map[string]sample{}, recent: map[string]sample{}, newest: map[string]sample{}}
}

// baseline returns the baseline of a route.
func (j *judge) baseline(route string) *baseline {
	b := j.baselines[route]
	if b == nil {
		b = newBaseline()
		j.baselines[route] = b
	}
	return b
}

// add adds answers of an endpoint of the old version.
func (b *baseline) add(endpoint string, counts Counts) {
	added := sample{float64(counts.Answers), float64(counts.bad())}
	for _, samples := range []map[string]sample{b.whole, b.recent, b.newest} {
		samples[endpoint] = samples[endpoint].plus(added)
	}
}

// decay takes weight from the recent and the newest answers.
func (b *baseline) decay(elapsed time.Duration) {
	decay(b.recent, elapsed, recentTime)
	decay(b.newest, elapsed, newestTime)
}

func decay(samples map[string]sample, elapsed, timeConstant time.Duration) {
	factor := math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
	for endpoint, s := range samples {
		if s.answers < minWeight {
			delete(samples, endpoint)
			continue
		}
		samples[endpoint] = sample{s.answers * factor, s.bad * factor}
	}
}

// expected returns the share of bad answers that is expected of a good version now.
func (b *baseline) expected() float64 {
	whole := sumWithoutWorst(b.whole).share(priorAnswers, minExpected)
	recent := sumWithoutWorst(b.recent).share(priorAnswers, whole)
	newest := sumWithoutWorst(b.newest).share(newestPriorAnswers, recent)
	return min(max(recent, newest, minExpected), maxBadShare-excess)
}

// share returns the share of bad answers, together with a number of answers that have the prior share.
func (s sample) share(priorAnswers, prior float64) float64 {
	return (s.bad + priorAnswers*prior) / (s.answers + priorAnswers)
}

// sumWithoutWorst returns the sum of the samples of several endpoints but the worst one: a fault of a
// single old endpoint is no standard for the target.
func sumWithoutWorst(samples map[string]sample) sample {
	sum := total(samples)
	if len(samples) <= 1 || sum.answers == 0 {
		return sum
	}
	share := sum.bad / sum.answers
	worst := sample{}
	for _, s := range samples {
		if s.bad-share*s.answers > worst.bad-share*worst.answers {
			worst = s
		}
	}
	return sample{sum.answers - worst.answers, sum.bad - worst.bad}
}

// oldDispersion returns the variance of the old endpoints' shares of bad answers relative to that of
// independent answers (Pearson's chi-squared by its degrees of freedom), without the worst endpoint; at least
// 1, and as much less as chance explains: without that, six endpoints seemed to differ by a factor of 1.8, and
// a bad version was completed.
func (j *judge) oldDispersion() float64 {
	samples := maps.Clone(j.common.whole)
	maps.DeleteFunc(samples, func(_ string, s sample) bool { return s.answers < minSampleAnswers })
	sum := total(samples)
	if len(samples) < 3 || sum.bad == 0 || sum.bad == sum.answers {
		return 1
	}
	share := max(sum.bad/sum.answers, minExpected)
	terms := make([]float64, 0, len(samples))
	for _, s := range samples {
		difference := s.bad - share*s.answers
		terms = append(terms, difference*difference/(s.answers*share*(1-share)))
	}
	slices.SortFunc(terms, cmp.Compare[float64])
	chiSquared := 0.0
	for _, term := range terms[:len(terms)-1] {
		chiSquared += term
	}
	freedom := float64(len(terms) - 2)
	return min(max(chiSquared/freedom-dispersionDeviations*math.Sqrt(2/freedom), 1), maxDispersion)
}

func total(samples map[string]sample) sample {
	sum := sample{}
	for _, s := range samples {
		sum = sum.plus(s)
	}
	return sum
}

func (s sample) plus(other sample) sample {
	return sample{s.answers + other.answers, s.bad + other.bad}
}

func (k rowKey) compare(other rowKey) int {
	return cmp.Or(cmp.Compare(k.route, other.route), cmp.Compare(k.endpoint, other.endpoint))
}
