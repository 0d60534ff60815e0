package acaciaentry

import (
	"context"
	"sync"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

type (
	// link carries reservations to agents, one stream for each.
	link struct {
		ctx     context.Context
		process *acaciaprocess.Process

		mu      sync.Mutex
		streams map[streamKey]context.CancelFunc
	}

	streamKey struct {
		address   string
		requestID string
	}
)

func newLink(ctx context.Context, process *acaciaprocess.Process) *link {
	return &link{ctx: ctx, process: process, streams: map[streamKey]context.CancelFunc{}}
}

// Reserve implements acaciaroute.AgentLink.
func (l *link) Reserve(address string, reservation acaciaroute.Reservation, notify func(acaciaroute.Offer)) {
	ctx, cancel := context.WithCancel(l.ctx)
	key := streamKey{address, reservation.RequestID}
	l.mu.Lock()
	l.streams[key] = cancel
	l.mu.Unlock()
	go func() {
		defer l.Withdraw(address, reservation.RequestID)
		l.stream(ctx, address, reservation, func(offer acaciaroute.Offer) {
			l.process.Loop.Post(func() { notify(offer) })
		})
	}()
}

// Withdraw implements acaciaroute.AgentLink.
func (l *link) Withdraw(address, requestID string) {
	key := streamKey{address, requestID}
	l.mu.Lock()
	cancel, ok := l.streams[key]
	delete(l.streams, key)
	l.mu.Unlock()
	if ok {
		cancel()
	}
}

func (l *link) stream(ctx context.Context, address string, reservation acaciaroute.Reservation, notify func(acaciaroute.Offer)) {
	clock := l.process.Recorder.Clock()
	message := acaciawire.FromReservation(reservation)
	message.Clock = uint64(clock.Next())
	message.ConfigurationVersion = int64(l.process.Keeper.Current().Version)
	message.FromAddress = l.process.Settings.Process.Address
	watched, stop, watchdog := acaciaprocess.NewWatchdog(ctx, acaciaprocess.SilenceTimeout)
	defer stop()
	stream, err := l.process.Clients.Agent(address).Reserve(watched, message)
	refused := acaciaroute.Offer{RequestID: reservation.RequestID, Kind: acaciaroute.OfferRefused}
	if err != nil {
		notify(refused)
		return
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		watchdog.Alive()
		reply := stream.Msg()
		clock.Observe(acaciaevent.Stamp(reply.Clock))
		if reply.Kind == 0 {
			continue
		}
		offer := acaciawire.ToOffer(reservation.RequestID, reply)
		l.process.Keeper.Hear(offer.Hint.ConfigurationVersion)
		notify(offer)
	}
	if ctx.Err() == nil {
		notify(refused)
	}
}
