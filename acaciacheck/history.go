package acaciacheck

import (
	"cmp"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
)

type (
	// history holds what the events say of each request.
	history struct {
		events   []acaciaevent.Event
		requests map[string]*requestHistory
		order    []string
	}

	requestHistory struct {
		id         string
		class      string
		model      string
		service    string
		rank       int
		arrived    time.Time
		patience   time.Duration
		shed       time.Time
		shedCode   acaciaroute.Code
		safe       bool
		asked      int
		dispatches []dispatch
		queued     map[string]time.Time
		granted    map[string]time.Time
		late       map[string]time.Time
	}

	dispatch struct {
		endpoint string
		keyHash  string
		at       time.Time
	}
)

func newHistory(events []acaciaevent.Event) *history {
	h := &history{events: events, requests: map[string]*requestHistory{}}
	for _, e := range events {
		if e.RequestID != "" {
			h.request(e).add(e)
		}
		if e.Kind == acaciaevent.ProcessStarted {
			h.forgetQueue(cmp.Or(e.Endpoint, e.Process))
		}
	}
	return h
}

// forgetQueue notes that an agent has started: the reservations of the one before
// are gone.
func (h *history) forgetQueue(endpoint string) {
	for _, r := range h.requests {
		delete(r.queued, endpoint)
	}
}

func (h *history) request(e acaciaevent.Event) *requestHistory {
	r, ok := h.requests[e.RequestID]
	if !ok {
		r = &requestHistory{
			id:      e.RequestID,
			queued:  map[string]time.Time{},
			granted: map[string]time.Time{},
			late:    map[string]time.Time{},
		}
		h.requests[e.RequestID] = r
		h.order = append(h.order, e.RequestID)
	}
	return r
}

func (r *requestHistory) add(e acaciaevent.Event) {
	at := e.Stamp.Time()
	switch e.Kind {
	case acaciaevent.RequestArrived:
		r.class, r.model, r.service, r.rank = e.Class, e.Model, e.Service, e.Rank
		r.arrived = at
		r.safe = e.Detail == acaciaevent.DetailSafe
		r.patience = time.Duration(e.Count)
	case acaciaevent.RequestShed:
		r.shed = at
		r.shedCode = e.Code
		r.asked = int(e.Count)
	case acaciaevent.RequestDispatched:
		r.dispatches = append(r.dispatches, dispatch{e.Endpoint, e.KeyHash, at})
	case acaciaevent.ReservationQueued:
		r.queued[e.Endpoint] = at
	case acaciaevent.GrantGiven:
		r.granted[e.Endpoint] = at
	case acaciaevent.ReservationLate:
		r.late[e.Endpoint] = at
	}
}
