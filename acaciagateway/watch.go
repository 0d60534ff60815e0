package acaciagateway

import (
	"context"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciafollow"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

const (
	// maxReadPause is the pause between two reads of the operators' topic in which an order may appear that
	// still counts as new.
	maxReadPause = 500 * time.Millisecond
	// endpointsPollInterval keeps the number of calls low.
	endpointsPollInterval = 1500 * time.Millisecond
)

// followConfiguration applies the configurations that operators publish in the store.
func (g *Gateway) followConfiguration(ctx context.Context) {
	applyChanges := func(changes []acaciaplatform.Change) {
		for _, change := range changes {
			configuration, err := change.Configuration()
			if err != nil {
				g.recorder.Record(acaciaevent.Event{Kind: acaciaevent.ConfigurationRefused, Detail: err.Error()})
				continue
			}
			if configuration != nil {
				g.applyConfiguration(&loadedConfiguration{Configuration: configuration, encoded: change.Value}, "store")
			}
		}
	}
	var readAt time.Time
	applyOrders := func(read acaciafollow.Read, snapshot bool) {
		if g.rollouts == nil {
			return
		}
		now := time.Now()
		// An order that may have come while the topic couldn't be read, or this process didn't run, is
		// of unknown age.
		seenToAppear := !snapshot && read.Began.Sub(readAt) < maxReadPause && now.Sub(read.Began) < read.MaxWait+maxReadPause
		readAt = now
		g.loop.Do(func() { g.rollouts.applyOrders(read.Changes, read.Position, snapshot && !read.Restored, seenToAppear) })
	}
	g.newFollower(acaciafollow.Settings{
		Topic:       acaciaplatform.TopicConfiguration,
		ChangeBound: func() time.Duration { return time.Duration(g.configurationBound.Load()) },
		OnSnapshot: func(read acaciafollow.Read) {
			applyChanges(read.Changes)
			applyOrders(read, true)
		},
		OnChanges: func(read acaciafollow.Read) {
			applyChanges(read.Changes)
			applyOrders(read, false)
		},
	}).Run(ctx)
}

// newFollower returns a follower of a topic of the gateway's store.
func (g *Gateway) newFollower(settings acaciafollow.Settings) *acaciafollow.Follower {
	return acaciafollow.New(g.store, g.era, g.storeRetries, g.recorder, settings)
}

// applyConfiguration puts a configuration in force, unless the one in force is as new or newer.
func (g *Gateway) applyConfiguration(loaded *loadedConfiguration, source string) {
	loaded.loadedAt = time.Now()
	g.loop.Do(func() {
		event := acaciaevent.Event{
			Kind: acaciaevent.ConfigurationApplied, Version: acaciaroute.Offset(loaded.Version), Detail: "from " + source,
		}
		if g.configuration.Load() != nil && g.configurationVersion() >= loaded.Version {
			event.Kind = acaciaevent.ConfigurationOutdated
			g.recorder.Record(event)
			return
		}
		g.configuration.Store(loaded)
		g.quota.Configure(loaded.Organisations, g.loop.Now())
		g.origins.SetRetention(streamRetention(loaded.Configuration))
		g.recorder.Record(event)
		g.scheduleBroadcast()
	})
}

// configurationVersion returns the version of the configuration in force, zero if there is none.
func (g *Gateway) configurationVersion() int64 {
	if current := g.configuration.Load(); current != nil {
		return current.Version
	}
	return 0
}

// followEndpoints keeps the list of endpoints up to date.
func (g *Gateway) followEndpoints(ctx context.Context) {
	// readAt is when the list was last read.
	var readAt time.Time
	g.newFollower(acaciafollow.Settings{
		Topic: acaciaplatform.TopicEndpoints, PollInterval: endpointsPollInterval, Refresher: g.endpointsRefresher,
		OnSnapshot: func(read acaciafollow.Read) {
			g.loop.Do(func() {
				g.applyEndpointSnapshot(read, readAt)
				g.confirmOrigins(read.Began)
			})
			readAt = time.Now()
			g.endpointsLoaded.Store(true)
		},
		OnChanges: func(read acaciafollow.Read) {
			readAt = time.Now()
			g.loop.Do(func() {
				if len(read.Changes) > 0 {
					g.endpoints.Apply(read.Changes)
					g.runScheduler()
				}
				g.listReadBegan = read.Began
				g.listReadAt.Store(read.Began.UnixNano())
				g.confirmOrigins(read.Began)
			})
		},
		OnStoreState: func(down bool) { g.loop.Post(func() { g.endpoints.SetStoreDown(down, g.loop.Now()) }) },
	}).Run(ctx)
}

// applyEndpointSnapshot applies a complete list of endpoints; previous is when the list was read before. It must be
// called on the loop.
func (g *Gateway) applyEndpointSnapshot(list acaciafollow.Read, previous time.Time) {
	now := g.loop.Now()
	if list.Restored {
		g.endpoints.SetStoreRestored(now)
	}
	copied := list.Restored || previous.IsZero()
	if copied {
		g.distrustList(list.Position.Era)
	}
	if g.mayHaveMissedVersions(previous, now) {
		g.origins.Interrupt(now)
	}
	g.origins.Observe(now)
	g.endpoints.Replace(list.Changes, copied)
	g.runScheduler()
}
