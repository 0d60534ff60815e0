package acaciapoison

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciacrash"
)

// applyCrash applies the report of a crash of an endpoint that ran one request, as it is read from
// the log.
func applyCrash(t *testing.T, table *verdictTable, at time.Time, content string, prefixes ...uint64) {
	t.Helper()
	traits := Traits(prefixes, content)
	report := Report{Contents: []string{content}, At: at, Runs: []Run{{Traits: traits, Attempts: table.crashes.Attempts(traits)}}}
	apply(t, table, report)
}

func apply(t *testing.T, table *verdictTable, report Report) {
	t.Helper()
	data, err := json.Marshal(report)
	assert.NilError(t, err)
	// A process that has made the report applies it at once and again when it reads it.
	table.applyReport(report)
	table.applyRecord(acaciaroute.Record{Data: data})
}

func TestPromptsThatShareCrashingPrefixAreRefused(t *testing.T) {
	const first, crashing, other = 1, 2, 3
	table, now := newVerdictTable(), time.Now()
	refused := func(content string, prefixes ...uint64) bool {
		return table.crashes.Refusal(Traits(prefixes, content), now) != nil
	}
	applyCrash(t, table, now, "a", first, crashing)
	assert.Check(t, !refused("b", first, crashing), "one crash proves nothing")
	applyCrash(t, table, now.Add(time.Millisecond), "c", first, crashing)
	assert.Check(t, refused("d", first, crashing))
	assert.Check(t, !refused("e", first), "the longer prefix explains the crashes")
	assert.Check(t, !refused("f", first, other))
	apply(t, table, Report{At: now.Add(time.Second), Answered: Traits([]uint64{first, crashing}, "x")})
	assert.Check(t, !refused("g", first, crashing), "an answer ends the ban")
}

// A report of another version of the program, or a broken one, must not end the process.
func TestReportsWithoutAttemptsAreIgnored(t *testing.T) {
	table := newVerdictTable()
	for i := range 3 {
		apply(t, table, Report{Contents: []string{fmt.Sprint(i)}, At: time.Now(), Runs: []Run{{Traits: []acaciacrash.Trait{1}}}})
	}
	assert.Equal(t, len(table.crashes.Bans()), 0)
}

// What crashes an engine may stand between two of the lengths at which beginnings of prompts are hashed. The beginning
// in front of it must not be refused: harmless prompts share it.
func TestBeginningOfHarmlessPromptsIsNotRefused(t *testing.T) {
	const first, second = 1, 2
	table, now := newVerdictTable(), time.Now()
	applyCrash(t, table, now, "a", first, second, 30)
	applyCrash(t, table, now.Add(time.Millisecond), "b", first, second, 31)
	assert.Check(t, table.crashes.Refusal(Traits([]uint64{first, second, 40}, "harmless"), now) == nil)
}
