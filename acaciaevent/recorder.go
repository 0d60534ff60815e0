package acaciaevent

import (
	"encoding/json"
	"sync"

	"github.com/go-logr/logr"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// Event is one thing that happened at one process.
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

	// Recorder keeps a process's newest events and logs each of them.
	Recorder struct {
		process string
		clock   *Clock
		log     logr.Logger

		mu   sync.Mutex
		ring []Event
		next int
	}
)

const (
	// DefaultCapacity is how many events a process keeps.
	DefaultCapacity = 20_000
)

// NewRecorder returns an empty recorder that keeps capacity events.
func NewRecorder(process string, clock *Clock, log logr.Logger, capacity int) *Recorder {
	return &Recorder{process: process, clock: clock, log: log, ring: make([]Event, 0, capacity)}
}

// Clock returns the recorder's clock.
func (r *Recorder) Clock() *Clock {
	return r.clock
}

// Record stamps an event, keeps it and logs it; failures are logged as errors.
func (r *Recorder) Record(event Event) {
	event.Stamp = r.clock.Next()
	event.Process = r.process
	event.Name = event.Kind.String()
	r.keep(event)
	if event.Kind.Failure() {
		r.log.Error(nil, event.Name, "event", event)
		return
	}
	if r.log.Enabled() {
		r.log.Info(event.Name, "event", event)
	}
}

// Failed records that one call has failed whose caller goes on without it.
func (r *Recorder) Failed(call string, about Event, err error) {
	about.Kind = CallFailed
	about.Detail = call + ": " + err.Error()
	r.Record(about)
}

// After returns the kept events with a stamp above after, oldest first.
func (r *Recorder) After(after Stamp) []Event {
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

// Encode returns an event in the form of the time line, one JSON object.
func (e Event) Encode() ([]byte, error) {
	return json.Marshal(e)
}

// Decode reads an event written by Encode.
func Decode(data []byte) (Event, error) {
	var event Event
	err := json.Unmarshal(data, &event)
	return event, err
}

func (r *Recorder) keep(event Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, event)
		return
	}
	r.ring[r.next] = event
	r.next = (r.next + 1) % len(r.ring)
}
