package acaciabudget

import "time"

type (
	// RepeatSettings bound the requests that are sent to a second endpoint, over all
	// processes.
	RepeatSettings struct {
		// Ratio is the share of a service's requests, Slack the number besides, in a
		// Window.
		Ratio  float64
		Slack  float64
		Window time.Duration
	}

	// Repeats counts, by service, requests and those that were sent again. It is used by
	// one goroutine.
	Repeats struct {
		settings RepeatSettings
		services map[string]*[windowSlots]tally
	}

	// tally counts in one part of the window.
	tally struct {
		slot     int64
		requests int
		repeats  int
	}
)

const (
	// windowSlots is into how many parts a window is cut.
	windowSlots = 10
	// safety is the part of the budget that a process uses, because it sees neither the
	// requests that did not reach it nor the others' repeats.
	safety = 0.7
)

// NewRepeats returns a budget of which nothing is spent.
func NewRepeats(settings RepeatSettings) *Repeats {
	return &Repeats{settings: settings, services: map[string]*[windowSlots]tally{}}
}

// Request counts a caller's request.
func (r *Repeats) Request(service string, now time.Time) {
	r.tally(service, now).requests++
}

// Repeat reports whether a request may be sent once more, and counts it if so; processes
// is how many share the slack.
func (r *Repeats) Repeat(service string, processes int, now time.Time) bool {
	current := r.tally(service, now)
	requests, repeats := 0, 0
	for _, t := range r.services[service] {
		if current.slot-t.slot < windowSlots {
			requests += t.requests
			repeats += t.repeats
		}
	}
	allowed := safety * (r.settings.Ratio*float64(requests) + r.settings.Slack/float64(max(processes, 1)))
	if float64(repeats+1) > allowed {
		return false
	}
	current.repeats++
	return true
}

func (r *Repeats) tally(service string, now time.Time) *tally {
	slots := r.services[service]
	if slots == nil {
		slots = &[windowSlots]tally{}
		r.services[service] = slots
	}
	slot := now.UnixNano() / int64(r.settings.Window/windowSlots)
	t := &slots[slot%windowSlots]
	if t.slot != slot {
		*t = tally{slot: slot}
	}
	return t
}
