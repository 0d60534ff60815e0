package acaciagateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciamemory"
)

// unreadTimeout is the time in which a caller must take a part of its answer, if the deadline of the request comes
// earlier. A part is 64 KiB at most, and the system holds some more for the caller.
const unreadTimeout = 5 * time.Second

// writeLimit ends a write that its caller keeps waiting.
type writeLimit struct {
	mu      sync.Mutex
	timer   *time.Timer
	done    bool
	expired bool
}

// limitWrite calls expire if stop isn't called in time. The time is taken in two halves: after the process was suspended
// the first one has passed, and the caller has the second one to show that it reads.
func limitWrite(limit time.Duration, expire func()) *writeLimit {
	l := &writeLimit{}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(limit/2, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		switch {
		case l.done:
		case l.expired:
			expire()
		default:
			l.expired = true
			l.timer.Reset(limit / 2)
		}
	})
	return l
}

// stop ends the limit; expire isn't called any more when it returns.
func (l *writeLimit) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done = true
	l.timer.Stop()
}

// resetDeadlines clears the deadlines that an earlier request on the connection may have left.
func (x *exchange) resetDeadlines() {
	// An error means that the connection has ended, which the next read or write reports.
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Time{})
}

// writeAnswer sends a part of an answer to the caller, who must take it within a time.
func (x *exchange) writeAnswer(held *acaciamemory.Answer, data []byte) error {
	return x.deliver(held, func() error {
		_, err := x.w.Write(data)
		return err
	})
}

// writeEvents sends events to the caller at once. A small event is written by the flush only, which therefore counts as
// delivery, too.
func (x *exchange) writeEvents(held *acaciamemory.Answer, events []byte) error {
	return x.deliver(held, func() error {
		if _, err := x.w.Write(events); err != nil {
			return err
		}
		return http.NewResponseController(x.w).Flush()
	})
}

// deliver calls write, which sends a part of an answer that the caller must take within a time.
func (x *exchange) deliver(held *acaciamemory.Answer, write func() error) error {
	limit := limitWrite(max(unreadTimeout, time.Until(x.deadline)), func() {
		_ = http.NewResponseController(x.w).SetWriteDeadline(time.Unix(0, 1))
	})
	defer limit.stop()
	x.writing.Store(true)
	defer x.writing.Store(false)
	if held.Evicted() {
		return acaciamemory.ErrAnswersTooLarge
	}
	held.Deliver(time.Now())
	if err := write(); err != nil {
		return err
	}
	held.Delivered()
	return nil
}

// evictAnswer returns a function that ends the call, and the delivery of its answer if the caller keeps it waiting.
func (x *exchange) evictAnswer(wd *watchdog) func(error) {
	return func(cause error) {
		x.gateway.metrics.evictedAnswers.Inc()
		wd.cancel(cause)
		if x.writing.Load() {
			_ = http.NewResponseController(x.w).SetWriteDeadline(time.Unix(0, 1))
		}
	}
}
