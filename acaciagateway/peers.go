package acaciagateway

import (
	"context"
	"slices"

	"github.com/acaciaroute/acaciaroute/acaciagossip"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

// registerAndFollowPeers writes the gateway's own registration to the store, again whenever the
// store has lost it, and reads those of the others.
func (g *Gateway) registerAndFollowPeers(ctx context.Context) {
	g.loop.Do(func() {
		for _, address := range g.settings.Seeds {
			g.addPeerAddress(address)
		}
	})
	own := acaciagossip.Registration{
		Process: g.settings.Name,
		Peer:    acaciaplatform.Peer{Address: g.settings.PeerAddress, DataCentre: g.settings.DataCentre, Region: g.settings.Region},
	}
	acaciagossip.NewRegistrar(g.store, g.era, g.storeRetries, g.recorder, own, func(address string) {
		g.loop.Do(func() {
			g.registeredPeers[address] = true
			g.addPeerAddress(address)
		})
	}).Run(ctx)
}

// setSeeds replaces the seeds. Those that are no longer named are forgotten as possible peers unless a gateway has
// registered there. It must be called on the loop.
func (g *Gateway) setSeeds(seeds []string) {
	for _, address := range g.settings.Seeds {
		if !slices.Contains(seeds, address) && !g.registeredPeers[address] {
			g.members.RemoveHint(address)
		}
	}
	for _, address := range seeds {
		g.addPeerAddress(address)
	}
	g.settings.Seeds = seeds
}

// addPeerAddress adds an address, unless it is the gateway's own, as that of a possible peer.
// It must be called on the loop.
func (g *Gateway) addPeerAddress(address string) {
	if address != g.settings.PeerAddress {
		g.members.AddHint(address)
	}
}
