package acaciaschedule

import (
	"maps"
	"math"
	"time"
)

// The order by expected slot time must not starve long requests, however long an overload lasts. If it had no bound,
// each request above a certain size would become late before a slot is left for it. Requests above a bound of their class
// therefore add the same to their objective: they take turns, and share what the smaller ones leave.
//
// With the share p of the requests below the bound, the share w of the slot time that they need, and the share k of the
// demand that can be served, those above the bound are served with the probability q = (k-w)/(1-w), and the class with
// p+(1-p)q. q is at least half of that if and only if w <= k-p(1-k). The bound is the largest for which this holds. k is
// what the class's recent requests show: a class that lacks little room gives up only its very longest requests.

type (
	// sizeOrder determines how much requests of a service add to their objectives in the order of their rank.
	sizeOrder struct {
		// hinted reports whether there has been a request with a hint. Before that, all add nothing.
		hinted  bool
		classes map[string]*classSizes
		spans   map[int]rankSpan
	}

	// classSizes keeps the expected slot times of the requests of a class.
	classSizes struct {
		// counts and seconds hold the number of requests by their size band, and the sum of their slot times.
		counts  [sizeSteps]float64
		seconds [sizeSteps]float64
		total   float64
		// bound is the slot time from which on all requests are equal.
		bound time.Duration
		// asked and served are the slot times of the requests that were recently decided on, and of those of them that
		// got a slot, in seconds, as of decidedAt.
		asked, served float64
		decidedAt     time.Time
	}

	// rankSpan is the shortest time that a request of a rank recently had from its arrival to its objective.
	rankSpan struct {
		span time.Duration
		// seenAt is when the last request with this span arrived.
		seenAt time.Time
	}
)

const (
	// minServedShare is the least share of a class's demand that is assumed to be served, so that the longest requests
	// are served half as often as all with a demand of up to twice what can be served; the rest is for errors of the
	// expected sizes. servedShareMargin is the same for shares above it.
	minServedShare    = 0.35
	servedShareMargin = 0.15
	// servedShareMemory is the time constant with which past decisions are forgotten. A long request that a short peak
	// displaces is served when its caller comes back after it, so that only longer overload counts.
	servedShareMemory = 10 * time.Second
	// priorDecisions is the number of requests of mean size, all served, that are assumed besides those decided on.
	priorDecisions = 10
	// maxTermShare bounds what a request adds to its objective, as a share of the shortest time to the objective in its
	// rank. Long requests have the rest to be served before they are late.
	maxTermShare = 0.75
	// sizeSteps is the number of size steps, of which stepsPerDoubling are in each doubling of the slot time. The
	// first is below minSizeStep; the last begins at more than an hour.
	sizeSteps        = 48
	stepsPerDoubling = 2
	minSizeStep      = time.Millisecond
	// maxSizesCounted is the number of requests at which the counts of a class are halved, so that the newest count most.
	maxSizesCounted = 2048
	// spanLifetime is how long the shortest time to the objective of a rank counts without a request that has it.
	spanLifetime = time.Minute
	// maxRankSpans and maxSizeClasses bound the memory if configurations with other ranks and classes follow each other.
	maxRankSpans   = 4096
	maxSizeClasses = 1024
)

func newSizeOrder() sizeOrder {
	return sizeOrder{classes: map[string]*classSizes{}, spans: map[int]rankSpan{}}
}

// clone returns a copy.
func (o *sizeOrder) clone() sizeOrder {
	copied := sizeOrder{hinted: o.hinted, classes: make(map[string]*classSizes, len(o.classes)), spans: maps.Clone(o.spans)}
	for class, sizes := range o.classes {
		sizesCopy := *sizes
		copied.classes[class] = &sizesCopy
	}
	return copied
}

// term counts a request and returns what its expected slot time adds to its objective in the order of its rank.
//
// The largest term is the same for all classes of a rank: otherwise requests of the class with the larger one would become
// late before they are served.
func (o *sizeOrder) term(request *Request) time.Duration {
	o.hinted = o.hinted || request.LengthHint > 0
	if !o.hinted {
		return 0
	}
	largest := time.Duration(maxTermShare * float64(o.span(request)))
	sizes := o.classes[request.Class]
	if sizes == nil {
		if len(o.classes) >= maxSizeClasses {
			clear(o.classes)
		}
		sizes = &classSizes{}
		o.classes[request.Class] = sizes
	}
	sizes.add(request.expectedSlotTime)
	if request.expectedSlotTime >= sizes.bound {
		return largest
	}
	return time.Duration(float64(largest) * sizes.shareBelow(request.expectedSlotTime))
}

// recordDecision records that a request has got a slot, or was refused.
func (o *sizeOrder) recordDecision(request *Request, placed bool, now time.Time) {
	if sizes := o.classes[request.Class]; sizes != nil {
		sizes.recordDecision(request.expectedSlotTime, placed, now)
	}
}

// boundOf returns the slot time from which on all requests of a class are equal.
func (o *sizeOrder) boundOf(class string) time.Duration {
	if sizes := o.classes[class]; sizes != nil {
		return sizes.bound
	}
	return 0
}

// waitShare returns what a request counts as in the waits of those after it: the expected slot time, at most the time
// for which it may wait, since a slot that is held for longer is one slot less for all of that time. Requests above the
// bound of their class count as their mean: if each counted as its own size, the larger one of two would have less ahead of it, and be
// refused less often.
func (o *sizeOrder) waitShare(request *Request) time.Duration {
	longest := max(request.maxWait, 0)
	sizes := o.classes[request.Class]
	if sizes == nil || request.expectedSlotTime < sizes.bound {
		return min(request.expectedSlotTime, longest)
	}
	count, seconds := 0.0, 0.0
	for step := sizeStep(sizes.bound); step < sizeSteps; step++ {
		count += sizes.counts[step]
		seconds += min(sizes.seconds[step], sizes.counts[step]*longest.Seconds())
	}
	return time.Duration(seconds / count * float64(time.Second))
}

// span returns the shortest time that requests of the request's rank recently had to their objectives, this one
// included. A request without an objective may wait until it is refused.
func (o *sizeOrder) span(request *Request) time.Duration {
	span := request.Objective.Sub(request.Arrived)
	if span <= 0 {
		span = request.maxWait
	}
	known, found := o.spans[request.Rank]
	if found && known.span < span && request.Arrived.Sub(known.seenAt) < spanLifetime {
		return known.span
	}
	if !found && len(o.spans) >= maxRankSpans {
		clear(o.spans)
	}
	o.spans[request.Rank] = rankSpan{span, request.Arrived}
	return span
}

// add counts a request with an expected slot time.
func (c *classSizes) add(slotTime time.Duration) {
	if c.total >= maxSizesCounted {
		c.total /= 2
		for i := range c.counts {
			c.counts[i] /= 2
			c.seconds[i] /= 2
		}
	}
	step := sizeStep(slotTime)
	c.counts[step]++
	c.seconds[step] += slotTime.Seconds()
	c.total++
	c.bound = c.findBound()
}

// findBound returns the largest bound at which requests above it are served often enough.
func (c *classSizes) findBound() time.Duration {
	work := 0.0
	for _, seconds := range c.seconds {
		work += seconds
	}
	served := c.servedShare(work / c.total)
	count, below := 0.0, 0.0
	largest := 0
	for step := range c.counts {
		if c.counts[step] == 0 {
			continue
		}
		largest = step
		count += c.counts[step]
		below += c.seconds[step]
		if below/work > served-(1-served)*count/c.total {
			break
		}
	}
	return startOfStep(largest)
}

// shareBelow returns the share of the requests below the bound that are smaller than a slot time.
func (c *classSizes) shareBelow(slotTime time.Duration) float64 {
	smaller, below := 0.0, 0.0
	own := sizeStep(slotTime)
	for step := range sizeStep(c.bound) {
		below += c.counts[step]
		if step < own {
			smaller += c.counts[step]
		}
	}
	if below == 0 {
		return 0
	}
	return smaller / below
}

// recordDecision records that a request of the class has got a slot, or was refused.
func (c *classSizes) recordDecision(slotTime time.Duration, placed bool, now time.Time) {
	factor := math.Exp(-now.Sub(c.decidedAt).Seconds() / servedShareMemory.Seconds())
	c.asked, c.served, c.decidedAt = c.asked*factor, c.served*factor, now
	c.asked += slotTime.Seconds()
	if placed {
		c.served += slotTime.Seconds()
	}
}

// servedShare returns the share of the class's demand that is expected to be served; mean is the mean slot time of its
// requests in seconds.
func (c *classSizes) servedShare(mean float64) float64 {
	prior := priorDecisions * mean
	if c.asked+prior == 0 {
		return minServedShare
	}
	return max((c.served+prior)/(c.asked+prior)-servedShareMargin, minServedShare)
}

// sizeStep returns the size step of a slot time.
func sizeStep(slotTime time.Duration) int {
	if slotTime < minSizeStep {
		return 0
	}
	step := math.Log2(float64(slotTime)/float64(minSizeStep)) * stepsPerDoubling
	return min(1+int(step), sizeSteps-1)
}

// startOfStep returns the shortest slot time of a size step. It is rounded up: rounded down it would be one of the step
// below.
func startOfStep(step int) time.Duration {
	if step == 0 {
		return 0
	}
	return time.Duration(math.Ceil(float64(minSizeStep) * math.Exp2(float64(step-1)/stepsPerDoubling)))
}
