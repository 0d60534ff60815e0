package acaciacheck

import (
	"cmp"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
)

type (
	// history holds what the events tell about each request; requestIDs lists the
	// requests in order of their first event.
	history struct {
		events     []acaciaevent.Event
		requests   map[string]*requestHistory
		requestIDs []string
	}

	// requestHistory is what the events tell about one request.
	requestHistory struct {
		id        string
		class     string
		model     string
		service   string
		rank      int
		arrivedAt time.Time
		// maxUsefulWait is the time after arrival during which a slot is of use.
		maxUsefulWait time.Duration
		shedAt        time.Time
		shedCode      acaciaroute.Code
		safeMethod    bool
		agentsAsked   int
		dispatches    []dispatch
		queuedAt      map[string]time.Time
		grantedAt     map[string]time.Time
		refusedLateAt map[string]time.Time
	}

	// dispatch is one dispatch of a request to an endpoint.
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
			h.requestOf(e).addEvent(e)
		}
		if e.Kind == acaciaevent.ProcessStarted {
			h.clearQueue(cmp.Or(e.Endpoint, e.Process))
		}
	}
	return h
}

// clearQueue removes all reservations at an endpoint whose agent has started, because
// those in the queue of the previous agent process are lost.
func (h *history) clearQueue(endpoint string) {
	for _, r := range h.requests {
		delete(r.queuedAt, endpoint)
	}
}

// requestOf returns the history of the event's request, and creates it if there is none.
func (h *history) requestOf(e acaciaevent.Event) *requestHistory {
	r, ok := h.requests[e.RequestID]
	if !ok {
		r = &requestHistory{
			id:            e.RequestID,
			queuedAt:      map[string]time.Time{},
			grantedAt:     map[string]time.Time{},
			refusedLateAt: map[string]time.Time{},
		}
		h.requests[e.RequestID] = r
		h.requestIDs = append(h.requestIDs, e.RequestID)
	}
	return r
}

func (r *requestHistory) addEvent(e acaciaevent.Event) {
	at := e.Stamp.Time()
	switch e.Kind {
	case acaciaevent.RequestArrived:
		r.class, r.model, r.service, r.rank = e.Class, e.Model, e.Service, e.Rank
		r.arrivedAt = at
		r.safeMethod = e.Detail == acaciaevent.DetailSafeMethod
		r.maxUsefulWait = time.Duration(e.Count)
	case acaciaevent.RequestShed:
		r.shedAt = at
		r.shedCode = e.Code
		r.agentsAsked = int(e.Count)
	case acaciaevent.RequestDispatched:
		r.dispatches = append(r.dispatches, dispatch{e.Endpoint, e.KeyHash, at})
	case acaciaevent.ReservationQueued:
		r.queuedAt[e.Endpoint] = at
	case acaciaevent.GrantGiven:
		r.grantedAt[e.Endpoint] = at
	case acaciaevent.ReservationLate:
		r.refusedLateAt[e.Endpoint] = at
	}
}
