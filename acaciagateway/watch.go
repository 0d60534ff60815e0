package acaciagateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

type (
	// follower reads one topic of the store: first the newest records, then changes.
	follower struct {
		gateway *Gateway
		topic   acaciaplatform.Topic
		// wait is how long the store may hold an answer back, pause the time between
		// two calls.
		wait  time.Duration
		pause time.Duration
		// whole takes the newest record of every key, changes those that follow.
		whole   func(changes []acaciaplatform.Change)
		changes func(changes []acaciaplatform.Change)
		// lost, if set, is told when the store cannot be read and when it can again.
		lost func(down bool)

		dependency *acaciaevent.Dependency
	}
)

const (
	// configurationWait and the pauses keep calls few; a connection that has gone silent
	// is found by the probes of its dialer.
	configurationWait = 4 * time.Second
	endpointsPause    = 1500 * time.Millisecond
	peersPause        = 15 * time.Second
	// retryPause is the mean pause after a failed call.
	retryPause = 150 * time.Millisecond
	// putAttempts is how often a gateway tries to write its own entry.
	putAttempts = 5
)

// run follows the topic until ctx ends.
func (f *follower) run(ctx context.Context) {
	f.dependency = acaciaevent.NewDependency(f.gateway.recorder, "store: "+string(f.topic))
	for ctx.Err() == nil {
		f.note(f.follow(ctx))
		sleep(ctx, rand.N(2*retryPause))
	}
}

// follow reads the newest records and then changes until a call fails for good.
func (f *follower) follow(ctx context.Context) error {
	changes, next, err := f.newest(ctx)
	if err != nil {
		return err
	}
	f.note(nil)
	f.whole(changes)
	// Many pages take long: what changed meanwhile is read at once.
	for ctx.Err() == nil {
		changes, after, err := f.gateway.store.Changes(ctx, f.topic, next, f.wait)
		var coded *acaciaroute.Error
		if errors.As(err, &coded) && coded.Code == acaciaroute.CodeLogTrimmed {
			return err
		}
		f.note(err)
		if err != nil {
			sleep(ctx, rand.N(2*retryPause))
			continue
		}
		next = after
		f.changes(changes)
		sleep(ctx, f.pause)
	}
	return nil
}

// newest reads the newest records, page by page; a page that fails is asked for again.
//
// Load pattern: hundreds of processes start at once and the store turns most calls away.
// One that began anew after each failure would hardly ever come to the last page.
func (f *follower) newest(ctx context.Context) ([]acaciaplatform.Change, acaciaroute.Offset, error) {
	var changes []acaciaplatform.Change
	var end acaciaroute.Offset
	for after := ""; ctx.Err() == nil; {
		page, err := f.gateway.store.Newest(ctx, f.topic, after)
		if err != nil {
			f.note(err)
			sleep(ctx, rand.N(2*retryPause))
			continue
		}
		changes = append(changes, page.Changes...)
		if after == "" {
			end = page.End
		}
		if !page.More {
			return changes, end, nil
		}
		after = page.Last
	}
	return nil, 0, ctx.Err()
}

func (f *follower) note(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	f.dependency.Note(err)
	if f.lost != nil {
		f.lost(err != nil)
	}
}

// followConfiguration applies the operators' configurations.
func (g *Gateway) followConfiguration(ctx context.Context) {
	apply := func(changes []acaciaplatform.Change) {
		for _, change := range changes {
			configuration, err := change.Configuration()
			if err != nil {
				g.recorder.Record(acaciaevent.Event{Kind: acaciaevent.ConfigurationRefused, Detail: err.Error()})
				continue
			}
			if configuration != nil {
				g.apply(&published{Configuration: configuration, text: change.Value}, "store")
			}
		}
	}
	f := follower{
		gateway: g, topic: acaciaplatform.TopicConfiguration, wait: configurationWait, whole: apply, changes: apply,
	}
	f.run(ctx)
}

// apply puts a configuration in force unless a newer one is.
func (g *Gateway) apply(next *published, from string) {
	next.at = time.Now()
	g.loop.Do(func() {
		if current := g.configuration.Load(); current != nil && current.Version >= next.Version {
			return
		}
		g.configuration.Store(next)
		g.quota.Configure(next.Organisations, g.loop.Now())
		g.recorder.Record(acaciaevent.Event{
			Kind: acaciaevent.ConfigurationApplied, Version: acaciaroute.Offset(next.Version), Detail: "from " + from,
		})
		g.tell()
	})
}

// followEndpoints keeps the list of endpoints.
func (g *Gateway) followEndpoints(ctx context.Context) {
	f := follower{
		gateway: g, topic: acaciaplatform.TopicEndpoints, pause: endpointsPause,
		whole: func(changes []acaciaplatform.Change) {
			g.loop.Do(func() { g.replaceEndpoints(changes) })
			g.listed.Store(true)
		},
		changes: func(changes []acaciaplatform.Change) {
			if len(changes) > 0 {
				g.loop.Do(func() { g.changeEndpoints(changes) })
			}
		},
		lost: func(down bool) { g.loop.Post(func() { g.endpoints.store(down, g.loop.Now()) }) },
	}
	f.run(ctx)
}

// followPeers writes the gateway's own entry and reads those of others.
func (g *Gateway) followPeers(ctx context.Context) {
	self := &acaciaplatform.Peer{Address: g.settings.PeerAddress, DataCentre: g.settings.DataCentre, Region: g.settings.Region}
	g.loop.Do(func() {
		for _, address := range g.settings.Seeds {
			g.hint(address)
		}
	})
	for range putAttempts {
		err := g.store.PutPeer(ctx, g.settings.Name, self)
		if err == nil || ctx.Err() != nil {
			break
		}
		g.recorder.Failed("write own entry", acaciaevent.Event{}, err)
		sleep(ctx, rand.N(4*retryPause))
	}
	read := func(changes []acaciaplatform.Change) {
		for _, change := range changes {
			peer, err := change.Peer()
			if err != nil {
				g.recorder.Failed("read the entry of a peer", acaciaevent.Event{}, err)
				continue
			}
			if peer != nil {
				g.loop.Do(func() { g.hint(peer.Address) })
			}
		}
	}
	f := follower{gateway: g, topic: acaciaplatform.TopicPeers, pause: peersPause, whole: read, changes: read}
	f.run(ctx)
}

func (g *Gateway) hint(address string) {
	if address != g.settings.PeerAddress {
		g.members.Hint(address)
	}
}

// sleep waits for a time or for the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
