package acaciagateway

import (
	"context"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciagossip"
	"github.com/acaciaroute/acaciaroute/acacialoop"
	"github.com/acaciaroute/acaciaroute/acaciapeer"
	"github.com/acaciaroute/acaciaroute/acaciarollout"
)

// heartbeatInterval is the interval at which a gateway schedules a message even if it has
// no requests.
const heartbeatInterval = 400 * time.Millisecond

// newPeerSender returns what sends messages to the other gateways.
func newPeerSender(g *Gateway) *acaciagossip.Sender {
	newOutbox := func() *acaciagossip.Outbox {
		rollouts := g.rollouts.newOutbox()
		return acaciagossip.NewOutbox(g.quota, g.crashes.NewOutbox(), g.origins.NewOutbox(), func() acaciarollout.Report { return g.rollouts.report(rollouts) })
	}
	return acaciagossip.NewSender(g.members, g.peerSocket, g.recorder, newOutbox(), newOutbox())
}

// scheduleBroadcast schedules a message with the gateway's load to the others, unless one is
// already scheduled. It must be called on the loop.
func (g *Gateway) scheduleBroadcast() {
	if g.broadcastScheduled {
		return
	}
	g.broadcastScheduled = true
	g.loop.After(g.peerSender.Interval(), func() {
		g.broadcastScheduled = false
		g.broadcast(false)
	})
}

// broadcast sends the gateway's state to the others: its load, quota use, what crashed endpoints,
// their limits, the origins of streams, the configuration version and how long it has been able to read the store. It must
// be called on the loop.
func (g *Gateway) broadcast(leaving bool) {
	now := g.loop.Now()
	g.updateQuotaShare(now)
	g.peerSender.Send(acaciapeer.Message{
		Process:         g.settings.Name,
		Started:         g.startedAt,
		Region:          g.settings.Region,
		Report:          g.scheduler.BuildReport(now),
		Version:         g.configurationVersion(),
		StoreReadableMS: g.endpoints.ReadableFor(now).Milliseconds(),
		Leaving:         leaving,
	}, now)
}

// heartbeat schedules messages regularly, so that a gateway without requests sends them too,
// and removes peers that have sent none for too long.
func (g *Gateway) heartbeat(ctx context.Context) {
	for ctx.Err() == nil {
		acacialoop.Sleep(ctx, heartbeatInterval)
		g.loop.Do(func() {
			now := g.loop.Now()
			for _, name := range g.members.DropSilent(now) {
				g.removePeer(name)
				g.rollouts.remove(name, true)
			}
			g.scheduler.SetReachableShare(g.members.ReachableShare(now))
			g.updateQuotaShare(now)
			g.origins.Expire(now)
			g.aware.Forget(now.Add(-g.origins.Retention()))
			g.scheduleBroadcast()
			g.metrics.updateGauges(g)
		})
	}
}

// updateQuotaShare sets the part of the quotas that the gateways that are heard may use together. It is called before each
// message, so that both sides of a partition soon notice it. It must be called on the loop.
func (g *Gateway) updateQuotaShare(now time.Time) {
	share, since := g.members.HeardShare(heartbeatInterval+g.peerSender.Interval(), now)
	g.quota.SetReachableShare(share, since, now)
}

// removePeer discards what a peer has reported and records that the peer is gone. It must be
// called on the loop.
func (g *Gateway) removePeer(name string) {
	g.aware.Lose(name, g.loop.Now())
	g.scheduler.ApplyReport(name, "", nil, g.loop.Now())
	g.quota.RemovePeer(name)
	g.recorder.Record(acaciaevent.Event{Kind: acaciaevent.PeerLost, Detail: name})
}

// receivePeerMessages receives messages of other gateways until ctx ends.
func (g *Gateway) receivePeerMessages(ctx context.Context) {
	g.peerSocket.Receive(ctx, func(message acaciapeer.Message, from string) {
		if g.inbox.Put(ctx, message, from) {
			g.loop.Post(g.handlePeerMessages)
		}
	})
}

// handlePeerMessages applies the messages in the inbox. It must be called on the loop.
func (g *Gateway) handlePeerMessages() {
	for _, received := range g.inbox.Take() {
		g.handleReceived(received)
	}
}

// handlePeerMessage applies a peer's message. It must be called on the loop.
func (g *Gateway) handlePeerMessage(message acaciapeer.Message, from string) {
	g.handleReceived(acaciapeer.Received{Message: message, From: from})
}

// handleReceived applies a received message; of a superseded one only what it tells of events. It must
// be called on the loop.
func (g *Gateway) handleReceived(message acaciapeer.Received) {
	now := g.loop.Now()
	switch g.members.ApplyMessage(message.Message, message.From, now) {
	case acaciapeer.EffectNone:
		return
	case acaciapeer.EffectLeft:
		g.removePeer(message.Process)
		g.rollouts.remove(message.Process, false)
		g.scheduleRun()
		return
	case acaciapeer.EffectStarted:
		g.handleStartedPeer(message, now)
	case acaciapeer.EffectUpdated:
	}
	if message.Superseded {
		g.scheduler.ApplySuperseded(&message.Report, now)
	} else {
		g.scheduler.ApplyReport(message.Process, message.Region, &message.Report, now)
	}
	g.quota.ApplyPeerUsage(message.Process, message.Used, message.UsedComplete, now)
	g.aware.Hear(message.Process, message.Started, message.OriginReports, len(message.Origins.Versions) > 0, now)
	g.mergeOrigins(message.Origins)
	g.mergeDoubts(message.Doubts)
	g.rollouts.merge(message.Message)
	if g.crashes.Merge(message.Crashes, now) {
		g.applyBans()
	}
	if g.endpoints.RecordPeerReadable(time.Duration(message.StoreReadableMS)*time.Millisecond, now) {
		g.endpoints.DropMissing()
		g.runScheduler()
	}
	if g.configurationVersion() < message.Version {
		g.startConfigurationFetch(message.From)
	}
	if len(g.waiters) > 0 {
		g.scheduleRun()
	}
}

// handleStartedPeer makes the next messages tell a gateway that has started what it can't know. It must be
// called on the loop.
func (g *Gateway) handleStartedPeer(message acaciapeer.Received, now time.Time) {
	g.aware.Lose(message.Process, now)
	g.quota.RemovePeer(message.Process)
	g.peerSender.SendAll()
	g.scheduler.ReportLimits(now)
	g.recorder.Record(acaciaevent.Event{Kind: acaciaevent.PeerFound, Detail: message.Process, Endpoint: message.From})
	g.scheduleBroadcast()
}

// announceLeaving tells the other gateways that this one is stopping.
func (g *Gateway) announceLeaving() {
	g.loop.Do(func() { g.broadcast(true) })
}
