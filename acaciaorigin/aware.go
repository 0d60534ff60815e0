package acaciaorigin

import (
	"maps"
	"time"
)

type (
	// AwareGateways tracks what this gateway may not have heard of the streams that others have begun: those
	// that know of a second software version of some service tell what streams they begin. It is not safe for
	// concurrent use.
	AwareGateways struct {
		gateways map[string]*awareGateway
		// lostAt is when the last gateway that knew of a second version was lost, missedAt when it
		// was last noticed that one had told something in vain; zero if that never happened.
		lostAt   time.Time
		missedAt time.Time
	}

	// awareGateway is another gateway.
	awareGateway struct {
		// started identifies its run.
		started int64
		// reports is how many reports of streams it had sent by its last message.
		reports uint64
		// aware reports whether it knew of a second version then.
		aware   bool
		heardAt time.Time
	}
)

const (
	// maxAwareSilence is for how long a gateway that knows of a second version may be silent without
	// being taken for dead.
	maxAwareSilence = 300 * time.Millisecond
	// TellTime is the time within which a gateway that is alive has told of a stream.
	TellTime = 250 * time.Millisecond
	// maxMissedReports is how many reports in a row may be lost: each repeats the one before.
	maxMissedReports = 1
)

// NewAwareGateways returns a tracker that has heard of no gateway.
func NewAwareGateways() *AwareGateways {
	return &AwareGateways{gateways: map[string]*awareGateway{}}
}

// Hear records a message of a run of a gateway; reports counts the reports of streams up to it, and aware
// tells whether it has one.
func (a *AwareGateways) Hear(name string, started int64, reports uint64, aware bool, now time.Time) {
	known := a.gateways[name]
	if known != nil && known.started == started {
		missed := int64(reports - known.reports)
		if aware {
			missed--
		}
		if missed > maxMissedReports {
			a.missedAt = now
		}
	}
	a.gateways[name] = &awareGateway{started: started, reports: reports, aware: aware, heardAt: now}
}

// Lose records that a run of a gateway has ended, or is out of reach.
func (a *AwareGateways) Lose(name string, now time.Time) {
	if lost := a.gateways[name]; lost != nil && lost.aware {
		a.lostAt = now
		lost.aware = false
	}
}

// Forget discards gateways that were last heard before a time: what they have told since is told again when
// they return.
func (a *AwareGateways) Forget(before time.Time) {
	maps.DeleteFunc(a.gateways, func(_ string, g *awareGateway) bool { return g.heardAt.Before(before) })
}

// AllHeard reports whether this gateway has heard all that was told within the retention: no gateway that
// knew of a second version has been lost or is silent now, and nothing was told in vain.
func (a *AwareGateways) AllHeard(retention time.Duration, now time.Time) bool {
	for _, at := range []time.Time{a.lostAt, a.missedAt} {
		if !at.IsZero() && now.Sub(at) < retention {
			return false
		}
	}
	for _, gateway := range a.gateways {
		if gateway.aware && now.Sub(gateway.heardAt) > maxAwareSilence {
			return false
		}
	}
	return true
}
