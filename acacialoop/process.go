package acacialoop

import (
	"context"
	"sync"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

const postCapacity = 4096

type (
	// Process is the Loop of a running process.
	Process struct {
		posts chan func()
		ctx   context.Context
		stop  context.CancelFunc
		done  chan struct{}
	}

	processTimer struct {
		timer *time.Timer

		mu      sync.Mutex
		stopped bool
	}
)

// New starts a loop that runs until Close or the end of ctx.
func New(ctx context.Context) *Process {
	ctx, stop := context.WithCancel(ctx)
	p := &Process{
		posts: make(chan func(), postCapacity),
		ctx:   ctx,
		stop:  stop,
		done:  make(chan struct{}),
	}
	go p.run()
	return p
}

// Now implements acaciaroute.Loop.
func (p *Process) Now() time.Time {
	return time.Now()
}

// Post implements acaciaroute.Loop; after Close it drops f.
func (p *Process) Post(f func()) {
	select {
	case p.posts <- f:
	case <-p.ctx.Done():
	}
}

// Do runs f on the loop and waits for its end; it reports whether f ran.
func (p *Process) Do(f func()) bool {
	ran := make(chan struct{})
	p.Post(func() {
		f()
		close(ran)
	})
	select {
	case <-ran:
		return true
	case <-p.done:
		return false
	}
}

// After implements acaciaroute.Loop.
func (p *Process) After(d time.Duration, f func()) acaciaroute.Timer {
	t := &processTimer{}
	t.timer = time.AfterFunc(d, func() {
		p.Post(func() { t.fire(f) })
	})
	return t
}

// Close stops the loop and waits for the function that runs.
func (p *Process) Close() {
	p.stop()
	<-p.done
}

// Done is closed once the loop has ended.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

func (p *Process) run() {
	defer close(p.done)
	for {
		select {
		case f := <-p.posts:
			f()
		case <-p.ctx.Done():
			return
		}
	}
}

// Stop implements acaciaroute.Timer.
func (t *processTimer) Stop() {
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
	t.timer.Stop()
}

func (t *processTimer) fire(f func()) {
	t.mu.Lock()
	stopped := t.stopped
	t.stopped = true
	t.mu.Unlock()
	if !stopped {
		f()
	}
}
