package acaciapeer

import (
	"slices"
	"time"
)

type (
	// Members are the processes that one process knows. It is used by one goroutine.
	Members struct {
		self    string
		region  string
		members map[string]*member
		// hints are addresses from settings and from the store, which may be wrong.
		hints map[string]time.Time
		// lost are processes that have fallen silent, and when.
		lost map[string]time.Time
	}

	member struct {
		started  int64
		sequence uint64
		region   string
		address  string
		heard    time.Time
		sent     time.Time
	}

	// News says what a message has changed.
	News int
)

// The kinds of news.
const (
	// NewsNone marks a message that is old or the process's own.
	NewsNone News = iota
	// NewsUpdate is the next message of a known run.
	NewsUpdate
	// NewsStarted is the first message of a run.
	NewsStarted
	// NewsLeft is the last message of a run.
	NewsLeft
)

const (
	// SilentTime is how long a process may be silent before it counts as gone.
	SilentTime = 3 * time.Second
	// hintTime is the time between messages to an address that nobody has answered from.
	hintTime = time.Second
	// lostTime is how long a process that has fallen silent may still be alive behind a
	// cut.
	lostTime = 20 * time.Second
	// farTime is the least time between messages to another region.
	farTime = 100 * time.Millisecond
)

// NewMembers returns the members as a process of a region sees them at its start.
func NewMembers(self, region string) *Members {
	return &Members{self: self, region: region, members: map[string]*member{}, hints: map[string]time.Time{}, lost: map[string]time.Time{}}
}

// Hint adds an address at which a process may listen.
func (m *Members) Hint(address string) {
	if _, known := m.hints[address]; !known {
		m.hints[address] = time.Time{}
	}
}

// Unhint drops an address.
func (m *Members) Unhint(address string) {
	delete(m.hints, address)
}

// Hear takes a message that came from an address.
func (m *Members) Hear(message Message, address string, now time.Time) News {
	if message.Process == m.self || message.Process == "" {
		return NewsNone
	}
	known := m.members[message.Process]
	if known != nil && (message.Started < known.started || message.Started == known.started && message.Sequence <= known.sequence) {
		return NewsNone
	}
	if message.Leaving {
		if known == nil {
			return NewsNone
		}
		delete(m.members, message.Process)
		return NewsLeft
	}
	news := NewsUpdate
	if known == nil || known.started != message.Started {
		known = &member{}
		m.members[message.Process] = known
		news = NewsStarted
	}
	known.started, known.sequence = message.Started, message.Sequence
	known.region, known.address, known.heard = message.Region, address, now
	delete(m.lost, message.Process)
	return news
}

// Silent drops the processes that have been silent for too long and returns their names.
func (m *Members) Silent(now time.Time) []string {
	var silent []string
	for name, known := range m.members {
		if now.Sub(known.heard) >= SilentTime {
			m.Hint(known.address)
			delete(m.members, name)
			m.lost[name] = now
			silent = append(silent, name)
		}
	}
	slices.Sort(silent)
	return silent
}

// Targets returns the addresses that get a message now, and notes that they do.
func (m *Members) Targets(now time.Time) []string {
	var targets []string
	live := map[string]bool{}
	for _, known := range m.members {
		live[known.address] = true
		if known.region != m.region && now.Sub(known.sent) < farTime {
			continue
		}
		known.sent = now
		targets = append(targets, known.address)
	}
	for address, sent := range m.hints {
		if live[address] || now.Sub(sent) < hintTime {
			continue
		}
		m.hints[address] = now
		targets = append(targets, address)
	}
	slices.Sort(targets)
	return targets
}

// Count returns how many processes are known, the own one too.
func (m *Members) Count() int {
	return len(m.members) + 1
}

// Share returns the part of the processes that may be alive which can be heard: 1 if all
// can.
func (m *Members) Share(now time.Time) float64 {
	for name, since := range m.lost {
		if now.Sub(since) >= lostTime {
			delete(m.lost, name)
		}
	}
	return float64(m.Count()) / float64(m.Count()+len(m.lost))
}
