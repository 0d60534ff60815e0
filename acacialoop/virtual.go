package acacialoop

import (
	"container/heap"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// Virtual is a Loop in virtual time. Run executes events in order of time and, if
	// their times are equal, in the order in which they were added, so that runs are
	// reproducible.
	Virtual struct {
		now      time.Time
		sequence int64
		events   eventHeap
	}

	// event is a function that is due at a time.
	event struct {
		at       time.Time
		sequence int64
		run      func()
		stopped  bool
	}

	// eventHeap implements heap.Interface, with the next event to run on top.
	eventHeap []*event
)

// NewVirtual returns a loop whose virtual time is start.
func NewVirtual(start time.Time) *Virtual {
	return &Virtual{now: start}
}

// Now implements acaciaroute.Loop.
func (v *Virtual) Now() time.Time {
	return v.now
}

// Post implements acaciaroute.Loop.
func (v *Virtual) Post(f func()) {
	v.After(0, f)
}

// After implements acaciaroute.Loop.
func (v *Virtual) After(d time.Duration, f func()) acaciaroute.Timer {
	v.sequence++
	e := &event{at: v.now.Add(max(d, 0)), sequence: v.sequence, run: f}
	heap.Push(&v.events, e)
	return e
}

// Run executes the events that are due up to end, sets the virtual time to end, and
// reports whether events remain.
func (v *Virtual) Run(end time.Time) bool {
	for len(v.events) > 0 && !v.events[0].at.After(end) {
		e := heap.Pop(&v.events).(*event)
		if e.stopped {
			continue
		}
		v.now = e.at
		e.run()
	}
	v.now = end
	return len(v.events) > 0
}

// Stop implements acaciaroute.Timer.
func (e *event) Stop() {
	e.stopped = true
}

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}

func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = nil
	*h = old[:last]
	return e
}
