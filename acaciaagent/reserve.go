package acaciaagent

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

// Reserve implements acaciawire.AgentServiceHandler.
func (h *handler) Reserve(ctx context.Context, request *acaciawire.ReserveRequest, stream *connect.ServerStream[acaciawire.OfferMessage]) error {
	a := h.agent
	clock := a.process.Recorder.Clock()
	clock.Observe(acaciaevent.Stamp(request.Clock))
	a.process.Configuration.ObserveVersion(acaciaroute.Offset(request.ConfigurationVersion))
	reservation := acaciawire.ReservationFromMessage(request)
	// Reservations wait for long, and what they hold is small.
	acaciaprocess.ReleaseMessage(ctx)
	queuedAt := time.Now()
	mailbox := newOfferMailbox()
	granted := false
	withdraw := func() {}
	a.requestCounts.Add(reservation.Class, reservation.Organisation, acaciaprocess.CountWaiting, 1)
	defer a.requestCounts.Add(reservation.Class, reservation.Organisation, acaciaprocess.CountWaiting, -1)
	a.process.Loop.Post(func() {
		h.record(acaciaevent.ReservationQueued, reservation, h.decisionInputs(reservation, queuedAt, a.granter.Hint()))
		withdraw = a.granter.Reserve(reservation, func(offer acaciaroute.Offer) {
			h.recordOffer(reservation, offer, granted, queuedAt)
			granted = offer.Kind == acaciaroute.OfferGranted
			mailbox.put(offer)
		})
	})
	defer a.process.Loop.Post(func() {
		h.record(acaciaevent.ReservationWithdrawn, reservation, h.decisionInputs(reservation, queuedAt, a.granter.Hint()))
		withdraw()
	})
	return h.sendOffers(ctx, mailbox, stream)
}

// sendOffers sends the granter's offers to the entry up to a refusal, and heartbeats
// while there are none.
func (h *handler) sendOffers(ctx context.Context, mailbox *offerMailbox, stream *connect.ServerStream[acaciawire.OfferMessage]) error {
	clock := h.agent.process.Recorder.Clock()
	heartbeat := time.NewTicker(acaciaprocess.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		message := &acaciawire.OfferMessage{}
		select {
		case <-mailbox.signal:
			offer := mailbox.take()
			if offer == nil {
				continue
			}
			offer.Hint.ConfigurationVersion = h.agent.process.Configuration.Current().Version
			message = acaciawire.OfferToMessage(*offer)
			heartbeat.Reset(acaciaprocess.HeartbeatInterval)
		case <-heartbeat.C:
		case <-ctx.Done():
			return nil
		}
		message.Clock = uint64(clock.Next())
		if err := stream.Send(message); err != nil {
			return err
		}
		if acaciaroute.OfferKind(message.Kind) == acaciaroute.OfferRefused {
			return nil
		}
	}
}

// recordOffer records an offer for a reservation that was queued at queuedAt. Argument
// wasGranted reports whether the previous offer was a grant. It must run on the loop.
func (h *handler) recordOffer(reservation acaciaroute.Reservation, offer acaciaroute.Offer, wasGranted bool, queuedAt time.Time) {
	inputs := h.decisionInputs(reservation, queuedAt, offer.Hint)
	inputs.ExpectedWait = acaciaevent.RoundDuration(offer.ExpectedWait)
	inputs.ExpectedFirst = acaciaevent.RoundDuration(offer.FirstTokenDelay)
	switch {
	case offer.Kind == acaciaroute.OfferGranted:
		h.agent.metrics.grants.WithLabelValues(reservation.Class).Inc()
		h.record(acaciaevent.GrantGiven, reservation, inputs)
	case wasGranted:
		h.record(acaciaevent.GrantExpired, reservation, inputs)
	case offer.Kind == acaciaroute.OfferTooLate:
		h.record(acaciaevent.ReservationHopeless, reservation, inputs)
	case offer.RefusedTooLate:
		h.record(acaciaevent.ReservationLate, reservation, inputs)
	}
}

// decisionInputs returns the values on which the agent bases a decision about a
// reservation that was queued at queuedAt. It must run on the loop.
func (h *handler) decisionInputs(reservation acaciaroute.Reservation, queuedAt time.Time, hint acaciaroute.Hint) *acaciaevent.Inputs {
	waited := time.Since(queuedAt)
	return &acaciaevent.Inputs{
		Waited:        acaciaevent.RoundDuration(waited),
		RemainingTime: acaciaevent.RoundDuration(reservation.Slack - waited),
		Queued:        hint.Waiting,
		Running:       h.agent.granter.Running(),
		Free:          hint.FreeSlots,
		TokenGap:      acaciaevent.RoundDuration(hint.TokenGap),
	}
}
