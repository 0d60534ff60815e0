package acaciagrant

import "time"

type (
	// drainMeter measures how fast reservations leave the queue, by a grant here
	// or elsewhere.
	drainMeter struct {
		windows [drainWindows]int
		current int64
		started time.Time
	}
)

const (
	drainWindows = 8
	drainWindow  = 500 * time.Millisecond
	// unknownDrain is the rate in departures per second while none was seen.
	unknownDrain = 4.0
)

func (m *drainMeter) add(now time.Time) {
	m.advance(now)
	m.windows[m.current%drainWindows]++
}

// wait returns how long ahead departures take at the measured rate.
func (m *drainMeter) wait(now time.Time, ahead int) time.Duration {
	if ahead == 0 {
		return 0
	}
	m.advance(now)
	total := 0
	for _, n := range m.windows {
		total += n
	}
	rate := max(float64(total)/m.span(now).Seconds(), minDrain)
	if total == 0 {
		rate = unknownDrain
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

// minDrain is the lowest rate assumed, in departures per second.
const minDrain = 0.2

// span returns how much time the windows cover.
func (m *drainMeter) span(now time.Time) time.Duration {
	return min(max(now.Sub(m.started), drainWindow), drainWindows*drainWindow)
}

func (m *drainMeter) advance(now time.Time) {
	if m.started.IsZero() {
		m.started = now
	}
	window := now.UnixNano() / int64(drainWindow)
	if m.current == 0 || window-m.current >= drainWindows {
		m.windows = [drainWindows]int{}
		m.current = window
		return
	}
	for m.current < window {
		m.current++
		m.windows[m.current%drainWindows] = 0
	}
}
