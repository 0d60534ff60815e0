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
	// agentLink sends reservations to agents, on one stream per reservation.
	agentLink struct {
		ctx     context.Context
		process *acaciaprocess.Process

		mu      sync.Mutex
		streams map[streamKey]*openStream
	}

	// openStream is the stream of one open reservation. A later reservation of the same
	// request at the same agent has an openStream of its own.
	openStream struct {
		cancel context.CancelFunc
	}

	streamKey struct {
		address   string
		requestID string
	}
)

const (
	// maxReserveAttempts limits how often a reservation is sent to one agent.
	maxReserveAttempts = 3
	// maxReserveDelay limits the random delay before a reservation is sent again.
	maxReserveDelay = 50 * time.Millisecond
)

// errAgentSilent is the error of a stream that was closed because the agent sent no
// message for too long.
var errAgentSilent = errors.New("the agent stopped sending messages")

func newAgentLink(ctx context.Context, process *acaciaprocess.Process) *agentLink {
	return &agentLink{ctx: ctx, process: process, streams: map[streamKey]*openStream{}}
}

// Reserve implements acaciaroute.AgentLink.
func (l *agentLink) Reserve(address string, reservation acaciaroute.Reservation, notify func(acaciaroute.Offer)) {
	ctx, cancel := context.WithCancel(l.ctx)
	key := streamKey{address, reservation.RequestID}
	opened := &openStream{cancel: cancel}
	l.mu.Lock()
	l.streams[key] = opened
	l.mu.Unlock()
	go func() {
		defer l.endStream(key, opened)
		l.streamOffers(ctx, address, reservation, func(offer acaciaroute.Offer) {
			l.process.Loop.Post(func() { notify(offer) })
		})
	}()
}

// Withdraw implements acaciaroute.AgentLink.
func (l *agentLink) Withdraw(address, requestID string) {
	key := streamKey{address, requestID}
	l.mu.Lock()
	opened, ok := l.streams[key]
	l.mu.Unlock()
	if ok {
		l.endStream(key, opened)
	}
}

// endStream ends one reservation. A later reservation under the same key stays open.
func (l *agentLink) endStream(key streamKey, opened *openStream) {
	opened.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.streams[key] == opened {
		delete(l.streams, key)
	}
}

// streamOffers sends a reservation and passes the agent's offers to notify. If the stream
// breaks off, it is opened again, because a broken connection does not mean that the agent
// is down. The new reservation replaces the earlier one at the agent.
func (l *agentLink) streamOffers(ctx context.Context, address string, reservation acaciaroute.Reservation, notify func(acaciaroute.Offer)) {
	began := time.Now()
	granted := false
	forward := func(offer acaciaroute.Offer) {
		granted = offer.Kind == acaciaroute.OfferGranted
		notify(offer)
	}
	for attempt := 1; ; attempt++ {
		current := reservation
		current.Slack -= time.Since(began)
		err := l.streamOffersOnce(ctx, address, current, forward)
		if err == nil || ctx.Err() != nil {
			return
		}
		// A new reservation would replace a grant that is already in use.
		if attempt == maxReserveAttempts || granted || errors.Is(err, errAgentSilent) || errors.Is(err, syscall.ECONNREFUSED) {
			l.process.Recorder.Record(acaciaevent.Event{
				Kind:      acaciaevent.AgentUnreached,
				RequestID: reservation.RequestID,
				Class:     reservation.Class,
				Endpoint:  address,
				Detail:    err.Error(),
				Inputs:    &acaciaevent.Inputs{Waited: acaciaevent.RoundedSince(began), Attempts: attempt},
			})
			notify(acaciaroute.Offer{RequestID: reservation.RequestID, Kind: acaciaroute.OfferRefused, AgentUnreachable: true})
			return
		}
		select {
		case <-time.After(rand.N(maxReserveDelay)):
		case <-ctx.Done():
		}
	}
}

// streamOffersOnce sends a reservation and passes on the offers of one stream. It returns
// nil if the agent refused the reservation, and otherwise why the stream broke off.
func (l *agentLink) streamOffersOnce(ctx context.Context, address string, reservation acaciaroute.Reservation, notify func(acaciaroute.Offer)) error {
	clock := l.process.Recorder.Clock()
	message := acaciawire.ReservationToMessage(reservation)
	message.Clock = uint64(clock.Next())
	message.ConfigurationVersion = int64(l.process.Configuration.Current().Version)
	message.FromAddress = l.process.Settings.Process.Address
	watchedCtx, stop, watchdog := acaciaprocess.NewWatchdog(ctx, acaciaprocess.SilenceTimeout)
	defer stop()
	stream, err := l.process.Clients.Agent(address).Reserve(watchedCtx, message)
	if err != nil {
		return cmp.Or(silenceError(watchedCtx), err)
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		watchdog.Reset()
		reply := stream.Msg()
		clock.Observe(acaciaevent.Stamp(reply.Clock))
		if reply.Kind == 0 {
			continue
		}
		offer := acaciawire.OfferFromMessage(reservation.RequestID, reply)
		l.process.Configuration.ObserveVersion(offer.Hint.ConfigurationVersion)
		notify(offer)
		if offer.Kind == acaciaroute.OfferRefused {
			return nil
		}
	}
	return cmp.Or(silenceError(watchedCtx), stream.Err(), io.ErrUnexpectedEOF)
}

// silenceError returns errAgentSilent if the watchdog has cancelled the stream's context.
func silenceError(watchedCtx context.Context) error {
	if watchedCtx.Err() != nil {
		return errAgentSilent
	}
	return nil
}
