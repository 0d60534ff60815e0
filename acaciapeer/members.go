package acaciapeer

import (
	"slices"
	"time"
)

type (
	// Members is the membership list of one process. It is not safe for concurrent use.
	Members struct {
		self    string
		region  string
		members map[string]*member
		// farSentAt is when messages were last sent to other regions.
		farSentAt time.Time
		// hints maps each address at which a process may listen to the time when a message
		// was last sent there. The addresses come from the settings, the store and dropped
		// processes, and may be wrong.
		hints map[string]time.Time
		// lostAt maps each process that was dropped because it stopped sending messages to
		// the time when it was dropped.
		lostAt map[string]time.Time
		// checkedAt is when HeardShare was last called, resumedAt when it was last called much later than it should be.
		checkedAt time.Time
		resumedAt time.Time
	}

	// member is another process as described by its newest message.
	member struct {
		started   int64
		sequence  uint64
		region    string
		address   string
		lastHeard time.Time
		// quiet reports whether HeardShare has found that the process is quiet since its last message.
		quiet bool
	}

	// Effect is the effect of a message on the membership list.
	Effect int
)

// Effects of a message.
const (
	// EffectNone marks a message that is outdated or the process's own.
	EffectNone Effect = iota
	// EffectUpdated marks a further message of a known run.
	EffectUpdated
	// EffectStarted marks the first message of a run.
	EffectStarted
	// EffectLeft marks the last message of a run.
	EffectLeft
)

const (
	// SilenceTimeout is how long a process may send no message before it is dropped.
	SilenceTimeout = 3 * time.Second
	// A process that has sent no message for quietIntervals of the longest interval between its messages, and for
	// minQuietTimeout, may be behind a network partition and use quotas of which nothing is heard. What the sides of a
	// partition use before that must stay within the tolerance of quotas; one lost message must not count as one.
	quietIntervals  = 2
	minQuietTimeout = time.Second
	// resumptionFactor is how many times the longest interval between two messages may pass between two calls of
	// HeardShare. After more than that, this process itself has not run, and may not have read the others' messages yet.
	resumptionFactor = 1.5
	// hintInterval is the least time between messages to an address at which no process is
	// known.
	hintInterval = time.Second
	// lostRetention is how long a dropped process counts as possibly alive behind a network
	// partition.
	lostRetention = 20 * time.Second
	// otherRegionInterval is the least time between messages to a process in another
	// region.
	otherRegionInterval = 100 * time.Millisecond
)

// NewMembers returns the membership list of a process that has just started in a region.
func NewMembers(self, region string) *Members {
	return &Members{self: self, region: region, members: map[string]*member{}, hints: map[string]time.Time{}, lostAt: map[string]time.Time{}}
}

// AddHint adds an address at which a process may listen.
func (m *Members) AddHint(address string) {
	if _, present := m.hints[address]; !present {
		m.hints[address] = time.Time{}
	}
}

// RemoveHint removes an address added by AddHint.
func (m *Members) RemoveHint(address string) {
	delete(m.hints, address)
}

// ApplyMessage applies a message received from an address and returns its effect.
func (m *Members) ApplyMessage(message Message, address string, now time.Time) Effect {
	if message.Process == m.self || message.Process == "" {
		return EffectNone
	}
	existing := m.members[message.Process]
	if existing != nil && (message.Started < existing.started || message.Started == existing.started && message.Sequence <= existing.sequence) {
		return EffectNone
	}
	if message.Leaving {
		if existing == nil {
			return EffectNone
		}
		delete(m.members, message.Process)
		return EffectLeft
	}
	effect := EffectUpdated
	if existing == nil || existing.started != message.Started {
		existing = &member{}
		m.members[message.Process] = existing
		effect = EffectStarted
	}
	existing.started, existing.sequence = message.Started, message.Sequence
	existing.region, existing.address, existing.lastHeard = message.Region, address, now
	existing.quiet = false
	delete(m.lostAt, message.Process)
	return effect
}

// DropSilent drops the processes that have sent no message for SilenceTimeout and
// returns their names. Their addresses are kept as hints.
func (m *Members) DropSilent(now time.Time) []string {
	var silent []string
	for name, peer := range m.members {
		if now.Sub(peer.lastHeard) >= SilenceTimeout {
			m.AddHint(peer.address)
			delete(m.members, name)
			m.lostAt[name] = now
			silent = append(silent, name)
		}
	}
	slices.Sort(silent)
	return silent
}

// NextTargets returns the addresses to which a message is to be sent now, and records it as
// sent. Those in other regions all get the same messages, which are fewer; far is empty for the
// others.
func (m *Members) NextTargets(now time.Time) (near, far []string) {
	live := map[string]bool{}
	farDue := now.Sub(m.farSentAt) >= otherRegionInterval
	if farDue {
		m.farSentAt = now
	}
	for _, peer := range m.members {
		live[peer.address] = true
		switch {
		case peer.region == m.region:
			near = append(near, peer.address)
		case farDue:
			far = append(far, peer.address)
		}
	}
	for address, lastSent := range m.hints {
		if live[address] || now.Sub(lastSent) < hintInterval {
			continue
		}
		m.hints[address] = now
		near = append(near, address)
	}
	slices.Sort(near)
	slices.Sort(far)
	return near, far
}

// FirstOfRegion reports whether this process is the first by name of the known ones in its region.
func (m *Members) FirstOfRegion() bool {
	for name, peer := range m.members {
		if peer.region == m.region && name < m.self {
			return false
		}
	}
	return true
}

// Count returns the number of known processes, including this one.
func (m *Members) Count() int {
	return len(m.members) + 1
}

// AllHeardSince reports whether each process that was known at a time has sent a message that arrived then or
// later. One that was dropped since has not.
func (m *Members) AllHeardSince(at time.Time) bool {
	if m.DroppedSince(at) {
		return false
	}
	for _, peer := range m.members {
		if peer.lastHeard.Before(at) {
			return false
		}
	}
	return true
}

// DroppedSince reports whether a process that may be alive was dropped at a time or later.
func (m *Members) DroppedSince(at time.Time) bool {
	for _, droppedAt := range m.lostAt {
		if !droppedAt.Before(at) {
			return true
		}
	}
	return false
}

// ReachableShare returns the number of known processes as a share of those that may
// be alive; it is 1 unless processes were dropped recently.
func (m *Members) ReachableShare(now time.Time) float64 {
	return float64(m.Count()) / float64(m.PossibleCount(now))
}

// HeardShare returns the number of processes that are heard as a share of those that may be alive, and since when those that
// have become quiet since the last call may not have heard of this one. It is below ReachableShare as soon as a process is
// quiet, before it is dropped. interval is the longest time between two messages of a process, and between two calls. After a
// suspension of this process the others count as heard until they could have been.
func (m *Members) HeardShare(interval time.Duration, now time.Time) (share float64, since time.Time) {
	heard, since := 1, now
	quietTimeout := min(max(minQuietTimeout, quietIntervals*interval), SilenceTimeout)
	if !m.checkedAt.IsZero() && now.Sub(m.checkedAt) > time.Duration(resumptionFactor*float64(interval)) {
		m.resumedAt = now
	}
	m.checkedAt = now
	for _, peer := range m.members {
		if now.Sub(peer.lastHeard) < quietTimeout || !peer.quiet && now.Sub(m.resumedAt) < quietTimeout {
			heard++
			continue
		}
		if !peer.quiet && peer.lastHeard.Before(since) {
			since = peer.lastHeard
		}
		peer.quiet = true
	}
	return float64(heard) / float64(m.PossibleCount(now)), since
}

// PossibleCount returns the number of processes that may be alive, including this one and those that were dropped recently.
func (m *Members) PossibleCount(now time.Time) int {
	m.expireLost(now)
	return m.Count() + len(m.lostAt)
}

// expireLost forgets the dropped processes that no longer count as possibly alive.
func (m *Members) expireLost(now time.Time) {
	for name, droppedAt := range m.lostAt {
		if now.Sub(droppedAt) >= lostRetention {
			delete(m.lostAt, name)
		}
	}
}
