package acaciagateway

import (
	"context"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

const (
	// configurationLongPollTimeout and the poll intervals keep the number of calls low. A
	// dead connection is detected by the probes of its dialer, not by these calls.
	configurationLongPollTimeout = 4 * time.Second
	endpointsPollInterval        = 1500 * time.Millisecond
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
	f := topicFollower{
		gateway: g, topic: acaciaplatform.TopicConfiguration, longPollTimeout: configurationLongPollTimeout, onChanges: applyChanges,
		onSnapshot: func(changes []acaciaplatform.Change, _ bool) { applyChanges(changes) },
	}
	f.run(ctx)
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
	f := topicFollower{
		gateway: g, topic: acaciaplatform.TopicEndpoints, pollInterval: endpointsPollInterval,
		onSnapshot: func(changes []acaciaplatform.Change, restored bool) {
			g.loop.Do(func() {
				if restored {
					g.endpoints.setStoreRestored(g.loop.Now())
				}
				g.replaceEndpoints(changes)
			})
			g.endpointsLoaded.Store(true)
		},
		onChanges: func(changes []acaciaplatform.Change) {
			if len(changes) > 0 {
				g.loop.Do(func() { g.applyEndpointChanges(changes) })
			}
		},
		onStoreState: func(down bool) { g.loop.Post(func() { g.endpoints.setStoreDown(down, g.loop.Now()) }) },
	}
	f.run(ctx)
}
