package acaciaexperiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// clairvoyantQueue is the reference that policies are compared with: a central
	// queue without latency that knows the speed and load of every engine and the
	// length of every answer.
	clairvoyantQueue struct {
		simulation    *simulation
		waiting       []*Result
		enginesByID   map[string]*clairvoyantEngine
		engineList    []*clairvoyantEngine
		servedTokens  map[[2]int]float64
		tickScheduled bool
	}

	// clairvoyantEngine is an engine with its load as known to the queue.
	clairvoyantEngine struct {
		*endpoint
		running int
		// pendingPrefill is the number of prompt tokens in the engine whose prefill
		// has not ended.
		pendingPrefill int
		// promptTokens and outputTokens are sums over the running requests.
		promptTokens int
		outputTokens int
	}
)

const (
	tickInterval = 5 * time.Millisecond
	// longPrefillTime is the time above which a prefill counts as long. Long prefills
	// may occupy only the share maxLongPrefillShare of the engines, so that a short
	// request of a higher class always finds a free engine.
	longPrefillTime     = 400 * time.Millisecond
	maxLongPrefillShare = 0.7
	// maxPrefillBacklog is the pending prefill time above which an engine gets no
	// further prompt.
	maxPrefillBacklog = 150 * time.Millisecond
	// classHeadroom is the share of the strictest time between tokens that each class
	// leaves free for the class above it.
	classHeadroom = 0.06
)

func newClairvoyantQueue(s *simulation) *clairvoyantQueue {
	q := &clairvoyantQueue{simulation: s, enginesByID: map[string]*clairvoyantEngine{}, servedTokens: map[[2]int]float64{}}
	for _, e := range s.endpointList {
		engine := &clairvoyantEngine{endpoint: e}
		q.enginesByID[e.vm.ID] = engine
		q.engineList = append(q.engineList, engine)
	}
	s.onProgress = q.trackProgress
	return q
}

func (q *clairvoyantQueue) submit(r *Result) {
	q.waiting = append(q.waiting, r)
	q.scheduleTick()
}

// scheduleTick schedules the next dispatch of waiting requests unless it is scheduled
// already. Ticks go on while requests wait.
func (q *clairvoyantQueue) scheduleTick() {
	if q.tickScheduled {
		return
	}
	q.tickScheduled = true
	q.simulation.loop.After(tickInterval, func() {
		q.tickScheduled = false
		q.dispatchWaiting()
		if len(q.waiting) > 0 {
			q.scheduleTick()
		}
	})
}

// dispatchWaiting dispatches waiting requests as far as possible in order of class, then
// of the tokens that the organisation has been served in that class, then of arrival,
// which is the order of deadlines within a class. It sheds requests that can no longer
// meet their deadline.
func (q *clairvoyantQueue) dispatchWaiting() {
	slices.SortStableFunc(q.waiting, q.compareRequests)
	kept := q.waiting[:0]
	classFull := map[int]bool{}
	for _, r := range q.waiting {
		if q.cannotMeetDeadline(r) {
			r.Code = acaciaroute.CodeShed
			r.EndedAt = q.simulation.elapsed()
			q.simulation.recordShed(r, len(q.engineList))
			continue
		}
		if !classFull[r.Class] {
			target, firstToken := q.bestEngine(r)
			classFull[r.Class] = target == nil
			if target != nil && firstToken <= q.deadline(r) {
				q.dispatch(r, target)
				continue
			}
		}
		kept = append(kept, r)
	}
	q.waiting = kept
}

// cannotMeetDeadline reports whether even an idle engine of the newest generation would
// return the first token too late.
func (q *clairvoyantQueue) cannotMeetDeadline(r *Result) bool {
	return q.simulation.elapsed()+q.engineList[0].prefillTime(r.PromptTokens) > q.deadline(r)
}

func (q *clairvoyantQueue) deadline(r *Result) time.Duration {
	return r.At + q.simulation.workload.Classes[r.Class].FirstToken
}

func (q *clairvoyantQueue) compareRequests(x, y *Result) int {
	classes := q.simulation.workload.Classes
	return cmp.Or(
		classes[y.Class].Rank-classes[x.Class].Rank,
		cmp.Compare(q.servedTokens[[2]int{x.Class, x.Organisation}], q.servedTokens[[2]int{y.Class, y.Organisation}]),
		cmp.Compare(x.At, y.At),
	)
}

// bestEngine returns the engine that would return the first token earliest, among those
// that can keep the time between tokens, and the time of that token. It returns nil if
// there is none.
func (q *clairvoyantQueue) bestEngine(r *Result) (*clairvoyantEngine, time.Duration) {
	var best *clairvoyantEngine
	var earliest time.Duration
	longPrefills := q.longPrefillCount()
	for _, e := range q.engineList {
		if e.crashed || e.prefillTime(e.pendingPrefill) > maxPrefillBacklog || !q.keepsTokenGap(e, r) {
			continue
		}
		if e.prefillTime(r.PromptTokens) > longPrefillTime && longPrefills >= int(maxLongPrefillShare*float64(len(q.engineList))) {
			continue
		}
		if first := q.firstTokenTime(e, r); best == nil || first < earliest {
			best, earliest = e, first
		}
	}
	return best, earliest
}

func (q *clairvoyantQueue) dispatch(r *Result, e *clairvoyantEngine) {
	q.servedTokens[[2]int{r.Class, r.Organisation}] += float64(r.PromptTokens + r.OutputTokens)
	e.adjustLoad(r, 1)
	e.pendingPrefill += r.PromptTokens
	e.startSequence(r, e.dataCentre)
}

// longPrefillCount returns the number of engines whose pending prefill is long.
func (q *clairvoyantQueue) longPrefillCount() int {
	count := 0
	for _, e := range q.engineList {
		if e.prefillTime(e.pendingPrefill) > longPrefillTime {
			count++
		}
	}
	return count
}

// keepsTokenGap reports whether the mean step of an engine that also ran r would stay within
// the strictest time between tokens, less the headroom of the class. The prefill of the
// running requests is spread evenly over the steps of their answers.
func (q *clairvoyantQueue) keepsTokenGap(e *clairvoyantEngine, r *Result) bool {
	strictest := q.simulation.workload.Classes[0].TokenGap
	strictest -= time.Duration(float64(strictest) * classHeadroom * float64(r.Class))
	n := e.running + 1
	steps := float64(e.outputTokens+r.OutputTokens) / float64(n)
	prefill := float64(e.promptTokens+r.PromptTokens) / steps * float64(e.settings.StepPerPrefillToken)
	step := e.settings.StepBase + time.Duration(n)*e.settings.StepPerSequence + time.Duration(prefill)
	return step <= strictest
}

func (q *clairvoyantQueue) firstTokenTime(e *clairvoyantEngine, r *Result) time.Duration {
	pending := e.pendingPrefill + r.PromptTokens
	steps := pending/e.settings.PrefillChunkTokens + 1
	step := e.settings.StepBase + time.Duration(e.running)*e.settings.StepPerSequence
	return q.simulation.elapsed() + time.Duration(steps)*step + e.prefillTime(pending)
}

// trackProgress updates the load of an engine when a request gets its first token and
// when it ends.
func (q *clairvoyantQueue) trackProgress(r *Result, first, last bool) {
	e := q.enginesByID[r.Endpoint]
	if first {
		e.pendingPrefill -= r.PromptTokens
	}
	if last {
		e.adjustLoad(r, -1)
	}
}

func (e *clairvoyantEngine) adjustLoad(r *Result, sign int) {
	e.running += sign
	e.promptTokens += sign * r.PromptTokens
	e.outputTokens += sign * r.OutputTokens
}

func (e *clairvoyantEngine) prefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * e.settings.StepPerPrefillToken
}
