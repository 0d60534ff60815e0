package acaciapoison

import (
	"encoding/json"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// Verdict says how a content may run.
	Verdict int

	// Report is one record of the stream: contents that ran when an endpoint died,
	// or one that ran alone and did no harm.
	Report struct {
		Contents []string  `json:"contents"`
		At       time.Time `json:"at"`
		// Alone tells that the content ran with nothing beside it.
		Alone bool `json:"alone,omitempty"`
		// Cleared tells that the endpoint survived.
		Cleared bool `json:"cleared,omitempty"`
	}

	// register holds the verdicts in force.
	register struct {
		suspects map[string]time.Time
		banned   map[string]time.Time
	}
)

// The verdicts on a content.
const (
	// Clean says that nothing is held against the content.
	Clean Verdict = iota
	// Suspect says that it ran when an endpoint died, and that it must next run
	// alone.
	Suspect
	// Banned says that an endpoint died while it ran alone.
	Banned
)

const (
	suspectLife = 30 * time.Minute
	bannedLife  = 24 * time.Hour
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"clean", "suspect", "banned"}[v]
}

func newRegister() *register {
	return &register{suspects: map[string]time.Time{}, banned: map[string]time.Time{}}
}

// apply takes a record; the verdicts depend on the records alone.
func (r *register) apply(record acaciaroute.Record) {
	var report Report
	if err := json.Unmarshal(record.Data, &report); err != nil {
		return
	}
	r.take(report)
}

func (r *register) take(report Report) {
	for _, content := range report.Contents {
		switch {
		case report.Cleared:
			delete(r.suspects, content)
		case report.Alone:
			r.banned[content] = report.At
		default:
			r.suspects[content] = report.At
		}
	}
}

func (r *register) verdict(content string, now time.Time) Verdict {
	if at, ok := r.banned[content]; ok && now.Sub(at) < bannedLife {
		return Banned
	}
	if at, ok := r.suspects[content]; ok && now.Sub(at) < suspectLife {
		return Suspect
	}
	return Clean
}

func (r *register) forget(now time.Time) {
	for content, at := range r.suspects {
		if now.Sub(at) >= suspectLife {
			delete(r.suspects, content)
		}
	}
	for content, at := range r.banned {
		if now.Sub(at) >= bannedLife {
			delete(r.banned, content)
		}
	}
}
