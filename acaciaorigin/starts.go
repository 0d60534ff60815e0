package acaciaorigin

import "time"

type (
	// Run is a start of an endpoint, reached over a connection.
	Run struct {
		Endpoint  string
		StartedAt time.Time
		// ConnectedAt is when the connection was opened.
		ConnectedAt time.Time
	}

	// Verdict is what is known of the process behind a connection.
	Verdict int

	// Starts holds the starts of endpoints that the list names, and what shows that they are the
	// current ones. It is not safe for concurrent use.
	//
	// An endpoint may start again under its ID with another software version. A connection ends with
	// the process that has accepted it, so a connection that was open before a read of the list which
	// names a start belongs to that start. A list that was restored from a copy shows nothing: it names
	// the starts of earlier. There, a registration counts once its endpoint has written it again. What an
	// endpoint itself says of its start counts whatever the list says.
	Starts struct {
		endpoints map[string]*startState
	}

	// startState is the newest registration of an endpoint.
	startState struct {
		startedAt time.Time
		sequence  int64
		// provenAt is when the last read of the list, or call of the endpoint, began that shows that the
		// start is the current one; zero if none does.
		provenAt time.Time
		// refuted reports whether the endpoint has said that it has another start.
		refuted bool
		// copied reports whether the registration may be that of an earlier start, because the list was
		// restored from a copy.
		copied bool
		// removed reports whether the list doesn't name the endpoint any more, frozen whether provenAt
		// doesn't change any more because of that.
		removed bool
		frozen  bool
	}
)

const (
	// VerdictOpen means that nothing shows yet whether it is the process of the start.
	VerdictOpen Verdict = iota
	// VerdictProven means that it is.
	VerdictProven
	// VerdictRefuted means that the endpoint has another start.
	VerdictRefuted
)

// NewStarts returns an empty table of starts.
func NewStarts() *Starts {
	return &Starts{endpoints: map[string]*startState{}}
}

// Register records a registration that the list names. copied reports whether it was read from a list
// that may have been restored from a copy since the registration was written.
func (s *Starts) Register(endpoint string, startedAt time.Time, sequence int64, copied bool) {
	known := s.endpoints[endpoint]
	if known == nil || !known.startedAt.Equal(startedAt) {
		s.endpoints[endpoint] = &startState{startedAt: startedAt, sequence: sequence, copied: copied}
		return
	}
	writtenAgain := sequence == 0 || sequence > known.sequence
	known.copied = copied || known.copied && !writtenAgain
	known.sequence, known.removed, known.frozen = sequence, false, false
}

// Remove records that the list doesn't name an endpoint any more.
func (s *Starts) Remove(endpoint string) {
	if known := s.endpoints[endpoint]; known != nil {
		known.removed = true
	}
}

// Forget discards an endpoint that the list doesn't name.
func (s *Starts) Forget(endpoint string) {
	if known := s.endpoints[endpoint]; known != nil && known.removed {
		delete(s.endpoints, endpoint)
	}
}

// Distrust records that the list has been restored from a copy. What was proven before stays so.
func (s *Starts) Distrust() {
	for _, known := range s.endpoints {
		known.copied = true
	}
}

// Trust records that reads of the list from now on show the current starts.
func (s *Starts) Trust() {
	for _, known := range s.endpoints {
		known.copied = false
	}
}

// Trusted reports whether no registration may be that of an earlier start.
func (s *Starts) Trusted() bool {
	for _, known := range s.endpoints {
		if known.copied && !known.removed {
			return false
		}
	}
	return true
}

// EndRead records that all of a read of the list has been registered. A removal proves the start up to
// that read: another one would have been registered before.
func (s *Starts) EndRead(began time.Time) {
	for _, known := range s.endpoints {
		if !known.copied && !known.frozen && began.After(known.provenAt) {
			known.provenAt = began
		}
		known.frozen = known.removed
	}
}

// Attest records what an endpoint answers to a call that began at a time: whether its start is the given
// one. If it is, a later start would be registered after that.
func (s *Starts) Attest(endpoint string, startedAt time.Time, isStart bool, began time.Time) {
	known := s.endpoints[endpoint]
	switch {
	case known == nil || !known.startedAt.Equal(startedAt):
	case !isStart:
		known.refuted = true
	case began.After(known.provenAt):
		known.provenAt, known.copied = began, false
	}
}

// MayJudge reports whether a later read of the list, or call of the endpoint, may still tell what is known of
// the process behind a connection. It tells nothing once a read has shown that the list doesn't name the
// start any more, unless the list was that of a copy, to which the endpoint adds its registration again.
func (s *Starts) MayJudge(run Run) bool {
	known := s.endpoints[run.Endpoint]
	return known != nil && known.startedAt.Equal(run.StartedAt) && (known.copied || !known.frozen)
}

// Judge returns what is known of the process behind a connection.
func (s *Starts) Judge(run Run) Verdict {
	known := s.endpoints[run.Endpoint]
	switch {
	case known == nil:
		return VerdictOpen
	case !known.startedAt.Equal(run.StartedAt):
		return VerdictRefuted
	case run.ConnectedAt.Before(known.provenAt):
		return VerdictProven
	case known.refuted:
		return VerdictRefuted
	}
	return VerdictOpen
}
