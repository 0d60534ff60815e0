package acaciapoison

import (
	"encoding/json"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// Verdict is the restriction under which a content may run.
	Verdict int

	// Report is one record of the stream. It names the contents that were running when
	// an endpoint crashed, or a content that ran alone without a crash.
	Report struct {
		Contents []string  `json:"contents"`
		At       time.Time `json:"at"`
		// Alone reports whether the content was the only one running.
		Alone bool `json:"alone,omitempty"`
		// Cleared reports whether the endpoint did not crash.
		Cleared bool `json:"cleared,omitempty"`
	}

	// verdictTable holds the contents that are suspect or banned, with the times of
	// their reports.
	verdictTable struct {
		suspects map[string]time.Time
		banned   map[string]time.Time
	}
)

// The verdicts on a content, from the least to the most restrictive.
const (
	// Clean means that the content may run without restriction.
	Clean Verdict = iota
	// Suspect means that the content was running when an endpoint crashed and must
	// run alone next time.
	Suspect
	// Banned means that an endpoint crashed while the content ran alone.
	Banned
)

const (
	suspectDuration = 30 * time.Minute
	banDuration     = 24 * time.Hour
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"clean", "suspect", "banned"}[v]
}

func newVerdictTable() *verdictTable {
	return &verdictTable{suspects: map[string]time.Time{}, banned: map[string]time.Time{}}
}

// applyRecord applies a record of the stream and ignores it if it cannot be decoded.
// It uses nothing but the record, so that all processes reach the same verdicts.
func (t *verdictTable) applyRecord(record acaciaroute.Record) {
	var report Report
	if err := json.Unmarshal(record.Data, &report); err != nil {
		return
	}
	t.applyReport(report)
}

func (t *verdictTable) applyReport(report Report) {
	for _, content := range report.Contents {
		switch {
		case report.Cleared:
			delete(t.suspects, content)
		case report.Alone:
			t.banned[content] = report.At
		default:
			t.suspects[content] = report.At
		}
	}
}

func (t *verdictTable) verdict(content string, now time.Time) Verdict {
	if reportedAt, ok := t.banned[content]; ok && now.Sub(reportedAt) < banDuration {
		return Banned
	}
	if reportedAt, ok := t.suspects[content]; ok && now.Sub(reportedAt) < suspectDuration {
		return Suspect
	}
	return Clean
}

func (t *verdictTable) removeExpired(now time.Time) {
	for content, reportedAt := range t.suspects {
		if now.Sub(reportedAt) >= suspectDuration {
			delete(t.suspects, content)
		}
	}
	for content, reportedAt := range t.banned {
		if now.Sub(reportedAt) >= banDuration {
			delete(t.banned, content)
		}
	}
}
