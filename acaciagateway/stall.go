package acaciagateway

import (
	"errors"
	"sync"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciasite"
	"github.com/acaciaroute/acaciaroute/acaciastall"
)

// stallTimer ends the call of a stream whose endpoint sends bytes, but completes no event for longer than callers wait.
type stallTimer struct {
	mu    sync.Mutex
	watch *acaciastall.Watch
	timer *time.Timer
	done  bool
}

var errStalled = errors.New("the endpoint has completed no event for longer than callers wait")

// watchStall begins to watch a stream whose request is sent now. It does nothing for other requests.
func (wd *watchdog) watchStall(route *acaciasite.Route) {
	if route.Kind != acaciasite.KindStream {
		return
	}
	s := &stallTimer{watch: acaciastall.NewWatch(acaciastall.Limit(route.FirstByteTarget, route.MaxGap), time.Now())}
	s.mu.Lock()
	defer s.mu.Unlock()
	wd.stall = s
	_, next := s.watch.Check(time.Now())
	s.timer = time.AfterFunc(next, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.done {
			return
		}
		stalled, next := s.watch.Check(time.Now())
		if stalled {
			wd.cancel(errStalled)
			return
		}
		s.timer.Reset(next)
	})
}

// observe applies what has happened to the stream; a nil timer ignores it.
func (s *stallTimer) observe(apply func(*acaciastall.Watch, time.Time)) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	apply(s.watch, time.Now())
}

// stop ends the watch; a nil timer has none.
func (s *stallTimer) stop() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	s.timer.Stop()
}
