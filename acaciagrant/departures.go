package acaciagrant

import "time"

type (
	// departureMeter measures how many reservations leave the queue per second, in a
	// sliding window. A reservation leaves when it is granted here, or when it is
	// withdrawn, for example because another agent granted it.
	departureMeter struct {
		// counts holds the departures of each window, at the index that is the window's
		// number modulo departureWindowCount.
		counts [departureWindowCount]int
		// newestWindow is the number of the newest window since the Unix epoch.
		newestWindow int64
		firstUsed    time.Time
	}
)

const (
	departureWindowCount  = 8
	departureWindowLength = 500 * time.Millisecond
	// defaultDepartureRate is the assumed rate, in departures per second, while the
	// sliding window contains no departure.
	defaultDepartureRate = 4.0
)

// recordDeparture counts a reservation that has left the queue.
func (m *departureMeter) recordDeparture(now time.Time) {
	m.advanceTo(now)
	m.counts[m.newestWindow%departureWindowCount]++
}

// expectedWait returns how long it takes until ahead more reservations have left the
// queue, at the measured rate.
func (m *departureMeter) expectedWait(now time.Time, ahead int) time.Duration {
	if ahead == 0 {
		return 0
	}
	m.advanceTo(now)
	total := 0
	for _, n := range m.counts {
		total += n
	}
	rate := max(float64(total)/m.measuredTime(now).Seconds(), minDepartureRate)
	if total == 0 {
		rate = defaultDepartureRate
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

// minDepartureRate is the lower bound of a measured rate, in departures per second.
const minDepartureRate = 0.2

// measuredTime returns how much time the counts cover: at most the whole sliding
// window, and less than that shortly after the first use.
func (m *departureMeter) measuredTime(now time.Time) time.Duration {
	return min(max(now.Sub(m.firstUsed), departureWindowLength), departureWindowCount*departureWindowLength)
}

// advanceTo clears the counts that are older than the sliding window.
func (m *departureMeter) advanceTo(now time.Time) {
	if m.firstUsed.IsZero() {
		m.firstUsed = now
	}
	window := now.UnixNano() / int64(departureWindowLength)
	if m.newestWindow == 0 || window-m.newestWindow >= departureWindowCount {
		m.counts = [departureWindowCount]int{}
		m.newestWindow = window
		return
	}
	for m.newestWindow < window {
		m.newestWindow++
		m.counts[m.newestWindow%departureWindowCount] = 0
	}
}
