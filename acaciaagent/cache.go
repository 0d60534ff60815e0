package acaciaagent

import (
	"context"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
)

type (
	// cacheFollower applies the engine's cache evictions to the granter's predicted
	// prefix cache.
	cacheFollower struct {
		agent            *Agent
		engineDependency *acaciaevent.Dependency
		// lastSequence is the sequence number of the newest event that was read.
		lastSequence int64
	}
)

const cachePollTimeout = time.Second

// poll reads the events since the last call. If events were missed, the prediction is
// not rebuilt: a wrong prediction costs time, but not correctness.
func (f *cacheFollower) poll() {
	engine, ok := f.agent.endpoint.(acaciaroute.Engine)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(f.agent.runContext, cachePollTimeout)
	defer cancel()
	events, err := engine.CacheEvictions(ctx, f.lastSequence)
	f.engineDependency.RecordResult(err)
	if err != nil {
		return
	}
	for _, event := range events {
		if missed := event.Sequence - f.lastSequence - 1; missed > 0 && f.lastSequence > 0 {
			f.agent.process.Recorder.Record(acaciaevent.Event{Kind: acaciaevent.CacheMissed, Count: missed})
		}
		f.lastSequence = event.Sequence
		f.agent.process.Loop.Post(func() { f.agent.granter.RemoveCachedPrefix(event.Prefix) })
	}
}
