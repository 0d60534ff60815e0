package acaciacrash

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	deadly Trait = 100 + iota
	common
	own // the own segments of callers are own, own+1, ...
)

// orders are the orders of a deadly and a common segment in a prompt.
var orders = map[string]func(deadly, common, content Trait) []Trait{
	"deadly first": func(deadly, common, content Trait) []Trait { return []Trait{deadly, common, content} },
	"common first": func(deadly, common, content Trait) []Trait { return []Trait{common, deadly, content} },
}

// Two segments that were in all requests that crashed endpoints explain that equally well. The deeper one
// was banned, and with it all harmless requests that have it. Those must run, and show which it is.
func TestEquallySuspectSegmentsAreToldApartByAnswers(t *testing.T) {
	for name, prompt := range orders {
		t.Run(name, func(t *testing.T) {
			table := NewTable(0)
			crash(table, 1, at(100), prompt(deadly, common, content)...)
			crash(table, 2, at(300), prompt(deadly, common, content+1)...)
			assert.Check(t, refuses(table, at(301), prompt(deadly, common, content+2)...))
			sound := prompt(own, common, content+3)
			assert.Check(t, !refuses(table, at(301), sound...))
			table.RecordAnswer(StageWhole, sound, at(400))
			assert.Check(t, refuses(table, at(401), prompt(deadly, own+1, content+4)...), "the deadly segment alone")
			assert.Check(t, !refuses(table, at(401), prompt(own+1, common, content+5)...))
		})
	}
}

// If what they share is the cause after all, one more crash shows it.
func TestEquallySuspectSegmentsAreToldApartByOneCrash(t *testing.T) {
	for name, prompt := range orders {
		t.Run(name, func(t *testing.T) {
			table := NewTable(0)
			crash(table, 1, at(100), prompt(own, deadly, content)...)
			crash(table, 2, at(300), prompt(own, deadly, content+1)...)
			crash(table, 3, at(500), prompt(own+1, deadly, content+2)...)
			assert.Check(t, refuses(table, at(501), prompt(own+2, deadly, content+3)...))
			assert.Check(t, !refuses(table, at(501), prompt(own, own+3, content+4)...))
		})
	}
}

// What endpoints had answered before the crashes is less likely their cause than what they had not.
func TestAnswersBeforeTheCrashesCount(t *testing.T) {
	for name, prompt := range orders {
		t.Run(name, func(t *testing.T) {
			table := NewTable(0)
			table.RecordAnswer(StageWhole, prompt(own, common, content), at(0))
			crash(table, 1, at(100), prompt(deadly, common, content+1)...)
			crash(table, 2, at(300), prompt(deadly, common, content+2)...)
			assert.Check(t, refuses(table, at(301), deadly, content+3))
			assert.Check(t, !refuses(table, at(301), prompt(own, common, content+4)...))
		})
	}
}

// A segment that had been answered can crash endpoints later, for example those of a new version.
func TestAnsweredSegmentIsBannedIfNothingElseExplainsTheCrashes(t *testing.T) {
	table := NewTable(0)
	table.RecordAnswer(StageWhole, []Trait{common, content}, at(0))
	for n := range 2 {
		crash(table, uint64(n), at(100+200*n), own+Trait(n), common, content+Trait(n))
	}
	assert.Check(t, refuses(table, at(400), own+9, common, content+9))
}

// Two deadly segments beside one that all prompts share are both found.
func TestTwoDeadlySegmentsAreBanned(t *testing.T) {
	for name, prompt := range orders {
		t.Run(name, func(t *testing.T) {
			table := NewTable(0)
			table.RecordAnswer(StageWhole, prompt(own, common, content), at(0))
			for n := range 4 {
				crash(table, uint64(n), at(100+200*n), prompt(deadly-Trait(n%2), common, content+Trait(n))...)
			}
			assert.Check(t, refuses(table, at(800), prompt(deadly, common, content+9)...))
			assert.Check(t, refuses(table, at(800), prompt(deadly-1, common, content+9)...))
			assert.Check(t, !refuses(table, at(800), prompt(own, common, content+9)...))
		})
	}
}

// One process sees the crashes, another one has seen the answers.
func TestEvidenceOfOtherProcessesCounts(t *testing.T) {
	for name, prompt := range orders {
		t.Run(name, func(t *testing.T) {
			sees, knows := NewTable(0), NewTable(0)
			toKnows, toSees := sees.NewOutbox(), knows.NewOutbox()
			knows.RecordAnswer(StageWhole, prompt(own, common, content), at(0))
			crash(sees, 1, at(100), prompt(deadly, common, content+1)...)
			crash(sees, 2, at(300), prompt(deadly, common, content+2)...)
			knows.Merge(toKnows.Next(at(310)), at(310))
			sees.Merge(toSees.Next(at(320)), at(320))
			for _, table := range []*Table{sees, knows} {
				assert.Check(t, refuses(table, at(330), deadly, content+3))
				assert.Check(t, !refuses(table, at(330), common, content+4))
			}
		})
	}
}

// mix is a mix of requests with deadly and common segments, at several processes that tell each other late
// what they see.
type mix struct {
	tables   []*Table
	outboxes []*Outbox
	prompt   func(deadly, common, content Trait) []Trait
	// runs ends with the answers and crashes to come, by the step in which they are observed.
	observations map[int][]func(now time.Time)
	crashSteps   []int
	lateRuns     int
}

const (
	stepTime = 20 * time.Millisecond
	// runSteps is how many steps a request runs before it crashes its endpoint or begins its answer,
	// messageSteps how many a message takes.
	runSteps     = 5
	messageSteps = 2
	// settleSteps is the time after which requests of the deadly kind must be refused, and twice that
	// the time after which harmless ones must not be.
	settleSteps = 200
	// crashesBeforeRefusal and maxLateRuns say how many requests may run meanwhile and afterwards.
	crashesBeforeRefusal = 5
	maxLateRuns          = 3
)

func (m *mix) at(step int, f func(now time.Time)) {
	m.observations[step] = append(m.observations[step], f)
}

// settled reports whether the time for requests of the deadly kind is over.
func (m *mix) settled(step int) bool {
	return len(m.crashSteps) >= crashesBeforeRefusal && step > m.crashSteps[crashesBeforeRefusal-1]+settleSteps
}

// lastCrash returns the step of the crash after which harmless requests must run again soon, 0 if there was none.
func (m *mix) lastCrash() int {
	if len(m.crashSteps) == 0 {
		return 0
	}
	return m.crashSteps[min(len(m.crashSteps), crashesBeforeRefusal)-1]
}

// send sends a request at a process and reports whether it was accepted.
func (m *mix) send(table *Table, step int, traits []Trait, crashes bool) bool {
	now := epoch.Add(time.Duration(step) * stepTime)
	if table.Refusal(traits, now) != nil {
		return false
	}
	attempts := table.Attempts(traits)
	if crashes && m.settled(step) {
		m.lateRuns++
	}
	m.at(step+runSteps, func(now time.Time) {
		if !crashes {
			table.RecordAnswer(StageWhole, traits, now)
			return
		}
		m.crashSteps = append(m.crashSteps, step+runSteps)
		table.RecordCrash(uint64(step)<<8+uint64(len(m.crashSteps)), StageBegun, traits, attempts, now)
	})
	return true
}

// step ends what ends now and lets processes tell each other.
func (m *mix) step(step int) {
	now := epoch.Add(time.Duration(step) * stepTime)
	for _, observe := range m.observations[step] {
		observe(now)
	}
	for i, outbox := range m.outboxes {
		records := outbox.Next(now)
		m.at(step+messageSteps, func(now time.Time) {
			for j, table := range m.tables {
				if j != i {
					table.Merge(records, now)
				}
			}
		})
	}
}

// Requests with a deadly segment are refused soon, and harmless ones that share its other segments run, in
// whatever order the segments stand, however many processes there are and how often each kind comes.
func TestDeadlySegmentIsRefusedAndItsNeighboursAreNot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		order := rapid.SampledFrom([]string{"deadly first", "common first"}).Draw(t, "order")
		m := &mix{prompt: orders[order], observations: map[int][]func(time.Time){}}
		for range rapid.IntRange(1, 5).Draw(t, "processes") {
			table := NewTable(rapid.Float64Range(0, MaxJitter).Draw(t, "jitter"))
			m.tables, m.outboxes = append(m.tables, table), append(m.outboxes, table.NewOutbox())
		}
		soundEvery, deadlyEvery := rapid.IntRange(5, 60).Draw(t, "sound every"), rapid.IntRange(2, 40).Draw(t, "deadly every")
		deadlyFrom := rapid.IntRange(0, 300).Draw(t, "deadly from")
		refused := 0
		for step := range 1200 {
			m.step(step)
			table := m.tables[rapid.IntRange(0, len(m.tables)-1).Draw(t, "process")]
			if step >= deadlyFrom && step%deadlyEvery == 0 {
				m.send(table, step, m.prompt(deadly, common, content+Trait(2*step)), true)
			}
			if step%soundEvery == 0 && !m.send(table, step, m.prompt(own+Trait(step%7), common, content+Trait(2*step+1)), false) && step > m.lastCrash()+2*settleSteps {
				refused++
			}
		}
		assert.Assert(t, refused == 0, fmt.Sprintf("%d harmless requests were refused", refused))
		assert.Assert(t, m.lateRuns <= maxLateRuns, "%d deadly requests ran late", m.lateRuns)
	})
}

// longPrompt is how the prompts of a mix are made up.
type longPrompt struct {
	// commons is the number of segments that all prompts share, place the number of those in front of a deadly one.
	commons, place int
}

// Traits of long prompts; each stands for a range that no other one reaches into.
const (
	longCommon  Trait = 1 << 20
	longDeadly  Trait = 2 << 20
	longOwn     Trait = 3 << 20
	longContent Trait = 4 << 20
)

// traits returns the traits of a prompt with the segment special among the common ones.
func (p longPrompt) traits(special, content Trait) []Trait {
	var traits []Trait
	for n := range p.commons {
		traits = append(traits, longCommon+Trait(n))
	}
	return append(slices.Insert(traits, p.place, special), content)
}

// A deadly segment is refused wherever it stands, and what stands beside it isn't, however many segments the prompts
// have, with one and two deadly segments, and with one and several callers and processes. The 32nd segment and those behind it
// were not looked at, and those in front of them were banned in their place.
func TestDeadlySegmentOfLongPromptIsRefusedAndItsNeighboursAreNot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := longPrompt{commons: rapid.IntRange(1, 80).Draw(t, "common segments")}
		prompt.place = rapid.IntRange(0, prompt.commons).Draw(t, "place")
		m := &mix{observations: map[int][]func(time.Time){}}
		for range rapid.IntRange(1, 5).Draw(t, "processes") {
			table := NewTable(rapid.Float64Range(0, MaxJitter).Draw(t, "jitter"))
			m.tables, m.outboxes = append(m.tables, table), append(m.outboxes, table.NewOutbox())
		}
		soundEvery, deadlyEvery := rapid.IntRange(5, 60).Draw(t, "sound every"), rapid.IntRange(2, 40).Draw(t, "deadly every")
		callers, deadlyCount := rapid.IntRange(1, 7).Draw(t, "callers"), rapid.IntRange(1, 2).Draw(t, "deadly segments")
		const deadlyFrom = 100
		refused := 0
		for step := range 1200 {
			m.step(step)
			table := m.tables[rapid.IntRange(0, len(m.tables)-1).Draw(t, "process")]
			if step >= deadlyFrom && step%deadlyEvery == 0 {
				deadly := longDeadly + Trait(step/deadlyEvery%deadlyCount)
				m.send(table, step, prompt.traits(deadly, longContent+Trait(2*step)), true)
			}
			sound := prompt.traits(longOwn+Trait(step%callers), longContent+Trait(2*step+1))
			if step%soundEvery == 0 && !m.send(table, step, sound, false) && step > m.lastCrash()+2*settleSteps {
				refused++
			}
		}
		assert.Assert(t, refused == 0, "%d harmless requests were refused", refused)
		assert.Assert(t, m.lateRuns <= maxLateRuns, "%d deadly requests ran late", m.lateRuns)
	})
}
