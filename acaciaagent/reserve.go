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
	a.process.Keeper.Hear(acaciaroute.Offset(request.ConfigurationVersion))
	reservation := acaciawire.ToReservation(request)
	began := time.Now()
	box := newMailbox()
	granted := false
	withdraw := func() {}
	a.tally.Add(reservation.Class, reservation.Organisation, acaciaprocess.TallyWaiting, 1)
	defer a.tally.Add(reservation.Class, reservation.Organisation, acaciaprocess.TallyWaiting, -1)
	a.process.Loop.Post(func() {
		h.record(acaciaevent.ReservationQueued, reservation, h.inputs(reservation, began, a.granter.Hint()))
		withdraw = a.granter.Reserve(reservation, func(offer acaciaroute.Offer) {
			h.offered(reservation, offer, granted, began)
			granted = offer.Kind == acaciaroute.OfferGranted
			box.put(offer)
		})
	})
	defer a.process.Loop.Post(func() {
		h.record(acaciaevent.ReservationWithdrawn, reservation, h.inputs(reservation, began, a.granter.Hint()))
		withdraw()
	})
	return h.sendOffers(ctx, box, stream)
}

// sendOffers sends what the granter offers until it refuses, and signs of life
// meanwhile.
func (h *handler) sendOffers(ctx context.Context, box *mailbox, stream *connect.ServerStream[acaciawire.OfferMessage]) error {
	clock := h.agent.process.Recorder.Clock()
	heartbeat := time.NewTicker(acaciaprocess.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		message := &acaciawire.OfferMessage{}
		select {
		case <-box.signal:
			offer := box.take()
			if offer == nil {
				continue
			}
			offer.Hint.ConfigurationVersion = h.agent.process.Keeper.Current().Version
			message = acaciawire.FromOffer(*offer)
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

// offered notes an offer for a reservation that came at began; granted tells that the
// one before was a grant. It runs on the loop.
func (h *handler) offered(reservation acaciaroute.Reservation, offer acaciaroute.Offer, granted bool, began time.Time) {
	inputs := h.inputs(reservation, began, offer.Hint)
	inputs.ExpectedWait = acaciaevent.Span(offer.Wait)
	inputs.ExpectedFirst = acaciaevent.Span(offer.First)
	switch {
	case offer.Kind == acaciaroute.OfferGranted:
		h.agent.metrics.grants.WithLabelValues(reservation.Class).Inc()
		h.record(acaciaevent.GrantGiven, reservation, inputs)
	case granted:
		h.record(acaciaevent.GrantExpired, reservation, inputs)
	case offer.Kind == acaciaroute.OfferHopeless:
		h.record(acaciaevent.ReservationHopeless, reservation, inputs)
	case offer.TooLate:
		h.record(acaciaevent.ReservationLate, reservation, inputs)
	}
}

// inputs returns what the agent knows when it decides on a reservation that came at
// began. It runs on the loop.
func (h *handler) inputs(reservation acaciaroute.Reservation, began time.Time, hint acaciaroute.Hint) *acaciaevent.Inputs {
	waited := time.Since(began)
	return &acaciaevent.Inputs{
		Waited:   acaciaevent.Span(waited),
		Left:     acaciaevent.Span(reservation.Slack - waited),
		Queued:   hint.Waiting,
		Running:  h.agent.granter.Running(),
		Free:     hint.Free,
		TokenGap: acaciaevent.Span(hint.Gap),
	}
}
