package acaciaevent

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"

	"github.com/go-logr/logr"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// Event is one occurrence at one process.
	Event struct {
		Stamp        Stamp              `json:"stamp"`
		Process      string             `json:"process"`
		Kind         Kind               `json:"kind"`
		Name         string             `json:"name"`
		RequestID    string             `json:"request_id,omitempty"`
		Service      string             `json:"service,omitempty"`
		Model        string             `json:"model,omitempty"`
		Class        string             `json:"class,omitempty"`
		Rank         int                `json:"rank,omitempty"`
		Organisation string             `json:"organisation,omitempty"`
		Endpoint     string             `json:"endpoint,omitempty"`
		KeyHash      string             `json:"key_hash,omitempty"`
		Code         acaciaroute.Code   `json:"code,omitempty"`
		Version      acaciaroute.Offset `json:"version,omitempty"`
		Count        int64              `json:"count,omitempty"`
		Detail       string             `json:"detail,omitempty"`
		Inputs       *Inputs            `json:"inputs,omitempty"`
	}

	// Recorder keeps the newest events of a process in memory and logs every event.
	Recorder struct {
		process string
		clock   *Clock
		log     logr.Logger

		mu sync.Mutex
		// ring holds the newest events; once it is full, next is the index of the oldest
		// one, which the next event overwrites.
		ring []Event
		next int
	}
)

const (
	// DefaultCapacity is the number of events that a process keeps in memory.
	DefaultCapacity = 20_000
)

// NewRecorder returns an empty recorder that keeps the newest capacity events.
func NewRecorder(process string, clock *Clock, log logr.Logger, capacity int) *Recorder {
	return &Recorder{process: process, clock: clock, log: log, ring: make([]Event, 0, capacity)}
}

// Clock returns the recorder's clock.
func (r *Recorder) Clock() *Clock {
	return r.clock
}

// Record stamps an event, keeps it in memory and logs it; events whose kind is a failure
// are logged as errors.
func (r *Recorder) Record(event Event) {
	event.Stamp = r.clock.Next()
	event.Process = r.process
	event.Name = event.Kind.String()
	event.limitSize()
	r.addToRing(event)
	if event.Kind.IsFailure() {
		r.log.Error(nil, event.Name, "event", event)
		return
	}
	if r.log.Enabled() {
		r.log.Info(event.Name, "event", event)
	}
}

// RecordCallFailure records a CallFailed event for a call that failed and whose
// caller continues without its result; event supplies the other fields.
func (r *Recorder) RecordCallFailure(call string, event Event, err error) {
	event.Kind = CallFailed
	event.Detail = call + ": " + err.Error()
	r.Record(event)
}

// EventsAfter returns the kept events with a stamp above after, oldest first.
func (r *Recorder) EventsAfter(after Stamp) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var events []Event
	for i := range r.ring {
		event := r.ring[(r.next+i)%len(r.ring)]
		if event.Stamp > after {
			events = append(events, event)
		}
	}
	return events
}

// FirstEventsAfter returns the first maxEvents of the kept events with a stamp above after, by stamp.
func (r *Recorder) FirstEventsAfter(after Stamp, maxEvents int) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var indices []int
	for i := range r.ring {
		if r.ring[i].Stamp > after {
			indices = append(indices, i)
		}
	}
	// Events that are recorded at once need not be kept in the order of their stamps.
	slices.SortFunc(indices, func(a, b int) int { return cmp.Compare(r.ring[a].Stamp, r.ring[b].Stamp) })
	events := make([]Event, 0, min(len(indices), maxEvents))
	for _, i := range indices[:cap(events)] {
		events = append(events, r.ring[i])
	}
	return events
}

// Encode returns the event as one JSON object, the form in which a timeline reads it.
func (e Event) Encode() ([]byte, error) {
	return json.Marshal(e)
}

// Decode reads an event written by Encode.
func Decode(data []byte) (Event, error) {
	var event Event
	err := json.Unmarshal(data, &event)
	return event, err
}

func (r *Recorder) addToRing(event Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, event)
		return
	}
	r.ring[r.next] = event
	r.next = (r.next + 1) % len(r.ring)
}
