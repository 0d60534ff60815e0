package acaciaentry

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

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
		streams map[streamKey]*openStream
	}

	// openStream is a reservation that has not ended; a later one of the same request
	// at the same agent is another.
	openStream struct {
		cancel context.CancelFunc
	}

	streamKey struct {
		address   string
		requestID string
	}
)

const (
	// reserveTries bounds how often a reservation is sent to one agent.
	reserveTries = 3
	// reservePause is the longest pause before it is sent again.
	reservePause = 50 * time.Millisecond
)

// errSilent is why a stream ends whose agent says nothing.
var errSilent = errors.New("the agent is silent")

func newLink(ctx context.Context, process *acaciaprocess.Process) *link {
	return &link{ctx: ctx, process: process, streams: map[streamKey]*openStream{}}
}

// Reserve implements acaciaroute.AgentLink.
func (l *link) Reserve(address string, reservation acaciaroute.Reservation, notify func(acaciaroute.Offer)) {
	ctx, cancel := context.WithCancel(l.ctx)
	key := streamKey{address, reservation.RequestID}
	opened := &openStream{cancel: cancel}
	l.mu.Lock()
	l.streams[key] = opened
	l.mu.Unlock()
	go func() {
		defer l.end(key, opened)
		l.stream(ctx, address, reservation, func(offer acaciaroute.Offer) {
			l.process.Loop.Post(func() { notify(offer) })
		})
	}()
}

// Withdraw implements acaciaroute.AgentLink.
func (l *link) Withdraw(address, requestID string) {
	key := streamKey{address, requestID}
	l.mu.Lock()
	opened, ok := l.streams[key]
	l.mu.Unlock()
	if ok {
		l.end(key, opened)
	}
}

// end ends a reservation and no later one.
func (l *link) end(key streamKey, opened *openStream) {
	opened.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.streams[key] == opened {
		delete(l.streams, key)
	}
}

// stream sends a reservation and passes the agent's offers on. A stream that breaks off
// is opened again, because a connection that has died in the meantime says nothing
// about the agent; the agent then forgets the reservation before.
func (l *link) stream(ctx context.Context, address string, reservation acaciaroute.Reservation, notify func(acaciaroute.Offer)) {
	began := time.Now()
	granted := false
	heard := func(offer acaciaroute.Offer) {
		granted = offer.Kind == acaciaroute.OfferGranted
		notify(offer)
	}
	for try := 1; ; try++ {
		again := reservation
		again.Slack -= time.Since(began)
		err := l.streamOnce(ctx, address, again, heard)
		if err == nil || ctx.Err() != nil {
			return
		}
		// A new reservation would take the place of a grant that is being used.
		if try == reserveTries || granted || errors.Is(err, errSilent) || errors.Is(err, syscall.ECONNREFUSED) {
			l.process.Recorder.Record(acaciaevent.Event{
				Kind:      acaciaevent.AgentUnreached,
				RequestID: reservation.RequestID,
				Class:     reservation.Class,
				Endpoint:  address,
				Detail:    err.Error(),
				Inputs:    &acaciaevent.Inputs{Waited: acaciaevent.Since(began), Attempts: try},
			})
			notify(acaciaroute.Offer{RequestID: reservation.RequestID, Kind: acaciaroute.OfferRefused, Unreached: true})
			return
		}
		select {
		case <-time.After(rand.N(reservePause)):
		case <-ctx.Done():
		}
	}
}

// streamOnce returns nil when the agent has refused, and else why the stream broke off.
func (l *link) streamOnce(ctx context.Context, address string, reservation acaciaroute.Reservation, notify func(acaciaroute.Offer)) error {
	clock := l.process.Recorder.Clock()
	message := acaciawire.FromReservation(reservation)
	message.Clock = uint64(clock.Next())
	message.ConfigurationVersion = int64(l.process.Keeper.Current().Version)
	message.FromAddress = l.process.Settings.Process.Address
	watched, stop, watchdog := acaciaprocess.NewWatchdog(ctx, acaciaprocess.SilenceTimeout)
	defer stop()
	stream, err := l.process.Clients.Agent(address).Reserve(watched, message)
	if err != nil {
		return cmp.Or(silence(watched), err)
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
		if offer.Kind == acaciaroute.OfferRefused {
			return nil
		}
	}
	return cmp.Or(silence(watched), stream.Err(), io.ErrUnexpectedEOF)
}

// silence returns errSilent if the watch over a stream has ended it.
func silence(watched context.Context) error {
	if watched.Err() != nil {
		return errSilent
	}
	return nil
}
