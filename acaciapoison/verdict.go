package acaciapoison

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciacrash"
)

type (
	// Verdict is the restriction under which a content may run.
	Verdict int

	// Report is one record of the stream. It names the contents that were running when
	// an endpoint crashed, a content that ran alone without a crash, or traits that were
	// answered after a crash.
	Report struct {
		Contents []string  `json:"contents"`
		At       time.Time `json:"at"`
		// Runs describes the requests that were running at the crash of an endpoint.
		Runs []Run `json:"runs,omitempty"`
		// Answered lists the traits of a request that was answered.
		Answered []acaciacrash.Trait `json:"answered,omitempty"`
		// Alone reports whether the content was the only one running.
		Alone bool `json:"alone,omitempty"`
		// Cleared reports whether the endpoint did not crash.
		Cleared bool `json:"cleared,omitempty"`
	}

	// Run is a request that was running at a crash.
	Run struct {
		Traits []acaciacrash.Trait `json:"traits"`
		// Attempts is what the process knew of the traits when the run started; see
		// acaciacrash.Table.
		Attempts []int `json:"attempts"`
	}

	// verdictTable holds the contents that are suspect or banned, with the times of
	// their reports, and what crashed endpoints by traits that contents share.
	verdictTable struct {
		suspects map[string]time.Time
		banned   map[string]time.Time
		crashes  *acaciacrash.Table
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

// Traits returns the traits of a request: the prefixes of its prompt, in order, and its content.
func Traits(prefixes []uint64, content string) []acaciacrash.Trait {
	traits := make([]acaciacrash.Trait, 0, len(prefixes)+1)
	for _, prefix := range prefixes {
		traits = append(traits, acaciacrash.Trait(prefix))
	}
	return append(traits, acaciacrash.Trait(xxhash.Sum64String(content)))
}

func newVerdictTable() *verdictTable {
	return &verdictTable{
		suspects: map[string]time.Time{}, banned: map[string]time.Time{},
		crashes: acaciacrash.NewTable(rand.Float64() * acaciacrash.MaxJitter),
	}
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
	crash := xxhash.Sum64String(strconv.FormatInt(report.At.UnixNano(), 10) + strings.Join(report.Contents, " "))
	for _, run := range report.Runs {
		if len(run.Attempts) == len(run.Traits) {
			t.crashes.RecordCrash(crash, acaciacrash.StageBegun, run.Traits, run.Attempts, report.At)
		}
	}
	t.crashes.RecordAnswer(acaciacrash.StageWhole, report.Answered, report.At)
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
