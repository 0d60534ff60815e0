package acaciaexperiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// bound is a clairvoyant central queue without latency: it knows the speed of
	// every engine, all caches and the length of every answer.
	bound struct {
		world   *world
		waiting []*Result
		engines map[string]*boundEngine
		order   []*boundEngine
		served  map[[2]int]float64
		ticking bool
	}

	// boundEngine is what the bound knows of one engine.
	boundEngine struct {
		*endpoint
		running int
		// pending is the prompt tokens that are not yet prefilled.
		pending int
		// prompts and outputs add up over the running requests.
		prompts int
		outputs int
	}
)

const (
	boundTick = 5 * time.Millisecond
	// longPrefill is a prefill that the bound lets run on some engines only, so
	// that a short request of a higher class always finds a free one.
	longPrefill = 400 * time.Millisecond
	longEngines = 0.7
	// boundBacklog is how much prefill an engine holds before it gets another
	// prompt.
	boundBacklog = 150 * time.Millisecond
	// boundHeadroom is the share of the time between tokens that each class
	// leaves to the class above it.
	boundHeadroom = 0.06
)

func newBound(w *world) *bound {
	b := &bound{world: w, engines: map[string]*boundEngine{}, served: map[[2]int]float64{}}
	for _, e := range w.order {
		engine := &boundEngine{endpoint: e}
		b.engines[e.vm.ID] = engine
		b.order = append(b.order, engine)
	}
	w.watch = b.watch
	return b
}

func (b *bound) submit(r *Result) {
	b.waiting = append(b.waiting, r)
	b.tickLater()
}

// tickLater keeps the queue moving while it holds requests.
func (b *bound) tickLater() {
	if b.ticking {
		return
	}
	b.ticking = true
	b.world.loop.After(boundTick, func() {
		b.ticking = false
		b.schedule()
		if len(b.waiting) > 0 {
			b.tickLater()
		}
	})
}

// schedule places what it can: by class, then by the organisation furthest
// behind, then by deadline.
func (b *bound) schedule() {
	slices.SortStableFunc(b.waiting, b.compare)
	kept := b.waiting[:0]
	full := map[int]bool{}
	for _, r := range b.waiting {
		if b.hopeless(r) {
			r.Code = acaciaroute.CodeShed
			r.Ended = b.world.since()
			b.world.recordShed(r, len(b.order))
			continue
		}
		if !full[r.Class] {
			target, first := b.best(r)
			full[r.Class] = target == nil
			if target != nil && first <= b.deadline(r) {
				b.place(r, target)
				continue
			}
		}
		kept = append(kept, r)
	}
	b.waiting = kept
}

// hopeless reports whether not even the fastest idle engine would be in time.
func (b *bound) hopeless(r *Result) bool {
	return b.world.since()+b.order[0].prefillTime(r.Prompt) > b.deadline(r)
}

func (b *bound) deadline(r *Result) time.Duration {
	return r.At + b.world.workload.Classes[r.Class].FirstToken
}

func (b *bound) compare(x, y *Result) int {
	classes := b.world.workload.Classes
	return cmp.Or(
		classes[y.Class].Rank-classes[x.Class].Rank,
		cmp.Compare(b.served[[2]int{x.Class, x.Member}], b.served[[2]int{y.Class, y.Member}]),
		cmp.Compare(x.At, y.At),
	)
}

// best returns the engine with the earliest first token that can still keep the
// time between tokens.
func (b *bound) best(r *Result) (*boundEngine, time.Duration) {
	var best *boundEngine
	var earliest time.Duration
	long := b.longRunning()
	for _, e := range b.order {
		if e.dead || e.prefillTime(e.pending) > boundBacklog || !b.fits(e, r) {
			continue
		}
		if e.prefillTime(r.Prompt) > longPrefill && long >= int(longEngines*float64(len(b.order))) {
			continue
		}
		if first := b.firstToken(e, r); best == nil || first < earliest {
			best, earliest = e, first
		}
	}
	return best, earliest
}

func (b *bound) place(r *Result, e *boundEngine) {
	b.served[[2]int{r.Class, r.Member}] += float64(r.Prompt + r.Output)
	e.add(r, 1)
	e.pending += r.Prompt
	e.start(r, e.dataCentre)
}

// longRunning counts the engines that are busy with a long prefill.
func (b *bound) longRunning() int {
	count := 0
	for _, e := range b.order {
		if e.prefillTime(e.pending) > longPrefill {
			count++
		}
	}
	return count
}

// fits reports whether the mean step stays within the strictest target when the
// prefill of the running requests is spread over the steps of their answers.
func (b *bound) fits(e *boundEngine, r *Result) bool {
	strictest := b.world.workload.Classes[0].TokenGap
	strictest -= time.Duration(float64(strictest) * boundHeadroom * float64(r.Class))
	n := e.running + 1
	steps := float64(e.outputs+r.Output) / float64(n)
	prefill := float64(e.prompts+r.Prompt) / steps * float64(e.settings.StepPerPrefillToken)
	step := e.settings.StepBase + time.Duration(n)*e.settings.StepPerSequence + time.Duration(prefill)
	return step <= strictest
}

func (b *bound) firstToken(e *boundEngine, r *Result) time.Duration {
	pending := e.pending + r.Prompt
	steps := pending/e.settings.PrefillChunkTokens + 1
	step := e.settings.StepBase + time.Duration(e.running)*e.settings.StepPerSequence
	return b.world.since() + time.Duration(steps)*step + e.prefillTime(pending)
}

// watch follows the requests in the engines.
func (b *bound) watch(r *Result, first, last bool) {
	e := b.engines[r.Endpoint]
	if first {
		e.pending -= r.Prompt
	}
	if last {
		e.add(r, -1)
	}
}

func (e *boundEngine) add(r *Result, sign int) {
	e.running += sign
	e.prompts += sign * r.Prompt
	e.outputs += sign * r.Output
}

func (e *boundEngine) prefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * e.settings.StepPerPrefillToken
}
