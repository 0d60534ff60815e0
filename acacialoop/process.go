package acacialoop

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

const (
	// queueCapacity is the number of posted functions that may wait before Post blocks.
	queueCapacity = 4096
	// runTimeWeight is the weight of a function in the moving average of how long one runs, and
	// maxRunTime the most that it counts as: a process that was suspended isn't behind for long.
	runTimeWeight = 1.0 / 64
	maxRunTime    = 100 * time.Millisecond
)

type (
	// Process is the Loop of a running process; it runs functions on a goroutine.
	Process struct {
		queue  chan postedFunction
		ctx    context.Context
		cancel context.CancelFunc
		done   chan struct{}
		// begun is the number of posted functions that have begun to run; deferred holds the functions
		// of Defer in the order in which they are due. Both are accessed only on the loop.
		begun    uint64
		deferred []deferredFunction
		// started is when the loop was made; other times are kept as nanoseconds since then.
		started time.Time
		// oldest is when the function that runs was posted, 0 if none runs; meanRunTime is the moving
		// average of how long a function runs, with the functions that it deferred.
		oldest      atomic.Int64
		meanRunTime atomic.Int64
	}

	// postedFunction is a function that waits to be run.
	postedFunction struct {
		run      func()
		postedAt int64
	}

	// deferredFunction is a function that is due once a number of posted functions have run.
	deferredFunction struct {
		run   func()
		after uint64
	}

	// processTimer is the Timer of a Process.
	processTimer struct {
		timer *time.Timer

		mu      sync.Mutex
		stopped bool
	}
)

// New starts a loop that runs until Close or the end of ctx.
func New(ctx context.Context) *Process {
	ctx, cancel := context.WithCancel(ctx)
	p := &Process{
		queue:   make(chan postedFunction, queueCapacity),
		ctx:     ctx,
		cancel:  cancel,
		done:    make(chan struct{}),
		started: time.Now(),
	}
	go p.run()
	return p
}

// Now implements acaciaroute.Loop.
func (p *Process) Now() time.Time {
	return time.Now()
}

// Post implements acaciaroute.Loop; after Close, it drops f.
func (p *Process) Post(f func()) {
	select {
	case p.queue <- postedFunction{f, p.elapsed()}:
	case <-p.ctx.Done():
	}
}

// Defer runs f after the functions that are posted now. Unlike Post it never blocks. It must be called
// on the loop.
func (p *Process) Defer(f func()) {
	p.deferred = append(p.deferred, deferredFunction{f, p.begun + uint64(len(p.queue))})
}

// Do runs f on the loop and waits for it to return; it reports whether f ran to its end
// before the loop ended.
func (p *Process) Do(f func()) bool {
	finished := make(chan struct{})
	p.Post(func() {
		f()
		close(finished)
	})
	select {
	case <-finished:
		return true
	case <-p.done:
		return false
	}
}

// After implements acaciaroute.Loop.
func (p *Process) After(d time.Duration, f func()) acaciaroute.Timer {
	t := &processTimer{}
	t.timer = time.AfterFunc(d, func() {
		p.Post(func() { t.runUnlessStopped(f) })
	})
	return t
}

// Close stops the loop and waits until the function that is running has returned.
func (p *Process) Close() {
	p.cancel()
	<-p.done
}

// Done returns a channel that is closed once the loop has ended.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

func (p *Process) run() {
	defer close(p.done)
	for {
		select {
		case posted := <-p.queue:
			p.runPosted(posted)
		case <-p.ctx.Done():
			return
		}
	}
}

// runPosted runs a posted function and what is deferred until then.
func (p *Process) runPosted(posted postedFunction) {
	begunAt := p.elapsed()
	p.oldest.Store(posted.postedAt)
	p.begun++
	posted.run()
	p.runDeferred()
	mean, runTime := p.meanRunTime.Load(), min(p.elapsed()-begunAt, int64(maxRunTime))
	p.meanRunTime.Store(mean + int64(runTimeWeight*float64(runTime-mean)))
	if len(p.queue) == 0 {
		p.oldest.Store(0)
	}
}

// elapsed returns the nanoseconds since the loop was made, at least 1.
func (p *Process) elapsed() int64 {
	return int64(time.Since(p.started)) + 1
}

// Backlog estimates how long a function that is posted now waits until it runs: as long as those before it
// take, but no longer than the one that runs has waited. It is safe for concurrent use.
func (p *Process) Backlog() time.Duration {
	oldest := p.oldest.Load()
	if oldest == 0 {
		return 0
	}
	return time.Duration(min(p.elapsed()-oldest, int64(len(p.queue))*p.meanRunTime.Load()))
}

// runDeferred runs the functions of Defer that are due.
func (p *Process) runDeferred() {
	for len(p.deferred) > 0 && p.deferred[0].after <= p.begun {
		f := p.deferred[0].run
		p.deferred = p.deferred[1:]
		f()
	}
}

// Stop implements acaciaroute.Timer.
func (t *processTimer) Stop() {
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
	t.timer.Stop()
}

// runUnlessStopped runs f, unless Stop was called after the timer had expired and posted f
// but before the loop ran it. It must be called on the loop.
func (t *processTimer) runUnlessStopped(f func()) {
	t.mu.Lock()
	stopped := t.stopped
	t.stopped = true
	t.mu.Unlock()
	if !stopped {
		f()
	}
}
