package acaciagossip

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciafollow"
	"github.com/acaciaroute/acaciaroute/acacialoop"
	"github.com/acaciaroute/acaciaroute/acaciaretry"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

type (
	// Registration is what a Registrar keeps in the store.
	Registration struct {
		// Process is the name of the process.
		Process string
		Peer    acaciaplatform.Peer
	}

	// Registrar keeps the process's own registration in the store and reads those of the others.
	Registrar struct {
		store    *acaciaplatform.Store
		era      *acaciafollow.EraWatch
		retries  *acaciaretry.Schedule
		recorder *acaciaevent.Recorder
		own      Registration
		onPeer   func(address string)
		// registered reports whether the store holds the own registration, as far as it is known.
		registered bool
	}
)

const (
	// PeersPollInterval is the pause between two reads of the registrations.
	PeersPollInterval = 15 * time.Second
	// maxRegisterAttempts is how often a process tries to write its own registration before it
	// reads the store again.
	maxRegisterAttempts = 5
)

// NewRegistrar returns a registrar that neither writes nor reads until Run. onPeer is called with the address of each
// registered process, also with the own one.
func NewRegistrar(store *acaciaplatform.Store, era *acaciafollow.EraWatch, retries *acaciaretry.Schedule, recorder *acaciaevent.Recorder, own Registration, onPeer func(address string)) *Registrar {
	return &Registrar{store: store, era: era, retries: retries, recorder: recorder, own: own, onPeer: onPeer}
}

// Run writes the own registration to the store, again whenever the
// store has lost it, and reads those of the others, until ctx ends.
func (r *Registrar) Run(ctx context.Context) {
	r.register(ctx)
	acaciafollow.New(r.store, r.era, r.retries, r.recorder, acaciafollow.Settings{
		Topic: acaciaplatform.TopicPeers, PollInterval: PeersPollInterval,
		OnSnapshot: func(read acaciafollow.Read) {
			r.registered = false
			r.apply(ctx, read.Changes)
		},
		OnChanges: func(read acaciafollow.Read) { r.apply(ctx, read.Changes) },
	}).Run(ctx)
}

// register writes the own registration.
func (r *Registrar) register(ctx context.Context) {
	for range maxRegisterAttempts {
		err := r.store.PutPeer(ctx, r.own.Process, &r.own.Peer)
		if err == nil || ctx.Err() != nil {
			r.registered = true
			return
		}
		r.recorder.RecordCallFailure("write the gateway's own registration to the store", acaciaevent.Event{}, err)
		acacialoop.Sleep(ctx, rand.N(4*acaciafollow.MeanRetryDelay))
	}
}

// apply applies registrations, and writes the own one if the store does not hold it.
func (r *Registrar) apply(ctx context.Context, changes []acaciaplatform.Change) {
	for _, change := range changes {
		r.applyChange(change)
	}
	if !r.registered {
		r.register(ctx)
	}
}

// applyChange applies the registration of a process. The topic holds the states of rollouts, too.
func (r *Registrar) applyChange(change acaciaplatform.Change) {
	if _, rollout := change.RolloutService(); rollout {
		return
	}
	peer, err := change.Peer()
	if err != nil {
		r.recorder.RecordCallFailure("decode the registration of a peer", acaciaevent.Event{}, err)
		return
	}
	if change.Key == r.own.Process {
		r.registered = peer != nil && peer.Address == r.own.Peer.Address
	}
	if peer != nil {
		r.onPeer(peer.Address)
	}
}
