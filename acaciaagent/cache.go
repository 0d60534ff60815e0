package acaciaagent

import (
	"context"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
)

type (
	// cacheFollower corrects the predicted prefix cache by the engine's events.
	cacheFollower struct {
		agent  *Agent
		engine *acaciaevent.Dependency
		last   int64
	}
)

const cacheTimeout = time.Second

// poll reads the events that have appeared since the last call. After a gap the
// prediction is as good as it was: a wrong one costs time, not correctness.
func (f *cacheFollower) poll() {
	engine, ok := f.agent.endpoint.(acaciaroute.Engine)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(f.agent.runs, cacheTimeout)
	defer cancel()
	events, err := engine.CacheEvents(ctx, f.last)
	f.engine.Note(err)
	if err != nil {
		return
	}
	for _, event := range events {
		if missed := event.Sequence - f.last - 1; missed > 0 && f.last > 0 {
			f.agent.process.Recorder.Record(acaciaevent.Event{Kind: acaciaevent.CacheMissed, Count: missed})
		}
		f.last = event.Sequence
		f.agent.process.Loop.Post(func() { f.agent.granter.RemoveCachedPrefix(event.Prefix) })
	}
}
