package acaciacrash

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	first Trait = iota + 1
	segment
	otherSegment
	content // contents of different requests are content, content+1, ...
)

var epoch = time.Unix(1_800_000_000, 0)

// at returns a time, in milliseconds from the beginning of a test.
func at(ms int) time.Time {
	return epoch.Add(time.Duration(ms) * time.Millisecond)
}

// crash records a crash of a request that was sent with all earlier crashes known.
func crash(table *Table, crash uint64, now time.Time, traits ...Trait) {
	table.RecordCrash(crash, StageBegun, traits, table.Attempts(traits), now)
}

func refuses(t *Table, now time.Time, traits ...Trait) bool {
	return t.Refusal(traits, now) != nil
}

func TestSegmentThatCrashesEndpointsIsRefused(t *testing.T) {
	table := NewTable(0)
	crash(table, 1, at(100), first, segment, content)
	assert.Check(t, !refuses(table, at(150), first, segment, content+1), "one crash proves nothing")
	crash(table, 2, at(300), first, segment, content+1)
	assert.Check(t, refuses(table, at(300), first, segment, content+2))
	assert.Check(t, !refuses(table, at(300), first, content+3), "the segment alone explains the crashes")
	assert.Check(t, !refuses(table, at(300), first, otherSegment, content+4))
}

// If the first segment of several prompts is the cause, the others must not be taken for it.
func TestFirstSegmentThatCrashesEndpointsIsRefused(t *testing.T) {
	table := NewTable(0)
	crash(table, 1, at(100), first, segment, content)
	crash(table, 2, at(300), first, otherSegment, content+1)
	assert.Check(t, refuses(table, at(300), first, content+2))
	assert.Check(t, !refuses(table, at(300), segment, content+3))
	assert.Check(t, !refuses(table, at(300), otherSegment, content+4))
}

func TestContentThatCrashesEndpointsIsRefused(t *testing.T) {
	table := NewTable(0)
	crash(table, 1, at(100), first, content)
	crash(table, 2, at(300), first, content)
	assert.Check(t, refuses(table, at(300), first, content))
	assert.Check(t, !refuses(table, at(300), first, content+1))
}

// A caller that repeats its request must not make its content seem the cause rather than the
// segment that crashed other endpoints, too.
func TestRepeatedRequestDoesNotHideTheSegment(t *testing.T) {
	table := NewTable(0)
	traits := []Trait{first, segment, content}
	attempts := table.Attempts(traits)
	for n := range 3 {
		table.RecordCrash(uint64(n), StageBegun, []Trait{first, segment, content + Trait(n)}, attempts, at(100+n))
	}
	crash(table, 3, at(200), traits...)
	assert.Check(t, refuses(table, at(200), first, segment, content+10))
}

// Requests that ran beside the cause, twice, are explained by it as soon as it has crashed one
// endpoint more.
func TestRequestsBesideTheCauseAreServed(t *testing.T) {
	table := NewTable(0)
	for n := range 3 {
		traits, beside := []Trait{first, segment, content + Trait(n)}, []Trait{first, otherSegment, content + 10 + Trait(n)}
		attempts, attemptsBeside := table.Attempts(traits), table.Attempts(beside)
		table.RecordCrash(uint64(n), StageBegun, traits, attempts, at(100*n))
		if n < 2 {
			table.RecordCrash(uint64(n), StageBegun, beside, attemptsBeside, at(100*n+1))
		}
	}
	assert.Check(t, refuses(table, at(700), first, segment, content+20))
	assert.Check(t, !refuses(table, at(700), first, otherSegment, content+21))
}

// When a rack fails, all of its endpoints crash at once with whatever they run.
func TestEndpointsThatCrashTogetherBanNothing(t *testing.T) {
	table := NewTable(0)
	attempts := table.Attempts([]Trait{first, segment, content})
	for n := range 9 {
		table.RecordCrash(uint64(n), StageBegun, []Trait{first, segment, content + Trait(n)}, attempts, at(100+n))
	}
	assert.Check(t, !refuses(table, at(110), first, segment, content+20))
}

// An answer on a trait takes all earlier crashes from it, also those that other processes tell
// later.
func TestAnsweredTraitIsNotTheCause(t *testing.T) {
	table := NewTable(0)
	crash(table, 1, at(100), first, content)
	table.RecordAnswer(StageWhole, []Trait{first, content + 1}, at(200))
	crash(table, 2, at(400), first, content+2)
	assert.Check(t, !refuses(table, at(400), first, content+3))
	table.Merge([]Record{{Crash: 1, ObservedAt: at(100), Traits: []TraitRecord{{Trait: first, Attempt: 1}}}}, at(500))
	assert.Check(t, !refuses(table, at(500), first, content+3))
	crash(table, 3, at(700), first, content+4)
	assert.Check(t, refuses(table, at(700), first, content+5))
}

// A ban ends by itself; then one request a second tries, until one is answered or crashes an
// endpoint, which bans for twice as long.
func TestEndedBanIsTriedAgain(t *testing.T) {
	table := NewTable(0)
	traits := []Trait{segment, content}
	crash(table, 1, at(100), traits...)
	crash(table, 2, at(300), traits...)
	end := at(300).Add(initialBan)
	assert.Check(t, refuses(table, end.Add(-time.Millisecond), traits...))
	assert.Check(t, !refuses(table, end, traits...))
	assert.Check(t, refuses(table, end.Add(time.Millisecond), traits...))
	assert.Check(t, !refuses(table, end.Add(trialInterval), traits...))
	again := end.Add(2 * time.Second)
	crash(table, 3, again, traits...)
	assert.Check(t, refuses(table, again.Add(2*initialBan-time.Millisecond), traits...))
	table.RecordAnswer(StageWhole, traits, again.Add(3*initialBan))
	assert.Check(t, !refuses(table, again.Add(3*initialBan), traits...))
	assert.Equal(t, len(table.Bans()), 0)
}

// All processes must decide alike, whatever they observe themselves and whichever messages are
// lost, once the table has been repeated.
func TestProcessesDecideAlike(t *testing.T) {
	const maxSteps = 25
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{NewTable(0), NewTable(0), NewTable(0)}
		outboxes := make([]*Outbox, len(tables))
		for i, table := range tables {
			outboxes[i] = table.NewOutbox()
		}
		now := epoch
		deliver := func(lossy bool) {
			for i, outbox := range outboxes {
				changes := outbox.Next(now)
				for j, table := range tables {
					lost := j == i || lossy && rapid.IntRange(0, 3).Draw(t, "lost") == 0
					if !lost {
						table.Merge(changes, now)
					}
				}
			}
		}
		for step := range rapid.IntRange(1, maxSteps).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			table := tables[rapid.IntRange(0, len(tables)-1).Draw(t, "process")]
			traits := []Trait{Trait(rapid.IntRange(1, 3).Draw(t, "segment")), content + Trait(step)}
			if rapid.IntRange(0, 3).Draw(t, "answered") == 0 {
				table.RecordAnswer(StageWhole, traits, now)
			} else {
				crash(table, uint64(rapid.IntRange(0, step).Draw(t, "crash")), now, traits...)
			}
			deliver(true)
		}
		// At least one record is repeated each time.
		for range maxSteps {
			now = now.Add(repeatInterval)
			deliver(false)
		}
		for _, table := range tables[1:] {
			assert.DeepEqual(t, traitsOf(table.Bans()), traitsOf(tables[0].Bans()))
		}
	})
}

func traitsOf(bans []Ban) []Trait {
	var traits []Trait
	for _, ban := range bans {
		traits = append(traits, ban.Traits...)
	}
	return traits
}

// The table and its messages stay small however many requests crash endpoints, and however many traits they have.
func TestTableIsBounded(t *testing.T) {
	for segments, crashes := range map[int]int{1: 2 * maxCrashes, 100: 2 * maxCrashes, MaxTraits - 1: 2 * maxTraitRecords / MaxTraits} {
		table := NewTable(0)
		outbox := table.NewOutbox()
		for n := range crashes {
			crash(table, uint64(n), at(100*n), wideTraits(segments, content+Trait(n))...)
			table.RecordAnswer(StageWhole, []Trait{first}, at(100*n+60))
		}
		assert.Check(t, len(table.crashes) <= maxCrashes)
		assert.Check(t, len(table.crashes) > 1)
		held, told := 0, 0
		for _, c := range table.crashes {
			held += c.size()
		}
		assert.Check(t, held <= maxTraitRecords, "%d segments", segments)
		for _, record := range outbox.Next(at(0)) {
			told += len(record.Traits)
		}
		assert.Check(t, told < messageTraits+MaxTraits, "%d segments", segments)
		table.removeOld(at(0).Add(24 * time.Hour))
		assert.Equal(t, len(table.crashes), 0)
	}
}

// What waits to be told stays bounded in a group without processes, which takes no messages.
func TestOutboxWithoutReceiverIsBounded(t *testing.T) {
	table := NewTable(0)
	outbox := table.NewOutbox()
	for n := range 2 * maxPending {
		table.tell(recordKey{uint64(n), content})
	}
	assert.Equal(t, len(outbox.pending), maxPending)
	assert.Equal(t, len(outbox.queued), maxPending)
}

// wideTraits returns the traits of a request with many segments, from first on.
func wideTraits(segments int, content Trait) []Trait {
	traits := make([]Trait, 0, segments+1)
	for n := range segments {
		traits = append(traits, first+Trait(n)<<32)
	}
	return append(traits, content)
}

// After a ban has ended, one request may run as a trial. A question whether a request would be refused must not take the
// place of that one, and must have the same answer.
func TestQuestionAboutRefusalIsNoTrial(t *testing.T) {
	table := NewTable(0)
	crash(table, 1, at(100), segment, content)
	crash(table, 2, at(200), segment, content+1)
	traits := []Trait{segment, content + 2}
	assert.Assert(t, table.WouldRefuse(traits, at(200)) == table.Refusal(traits, at(200)) && table.WouldRefuse(traits, at(200)) != nil)
	ended := table.WouldRefuse(traits, at(200)).Until
	for range 3 {
		assert.Assert(t, table.WouldRefuse(traits, ended) == nil)
	}
	assert.Assert(t, table.Refusal(traits, ended) == nil, "the trial was taken")
	assert.Assert(t, table.WouldRefuse(traits, ended) != nil)
	assert.Assert(t, table.Refusal(traits, ended) != nil)
}

// BenchmarkTable measures what a request costs while crashes of requests with as many segments speak against all of them,
// and what one more crash costs.
func BenchmarkTable(b *testing.B) {
	const crashes = 20
	for _, segments := range []int{4, 37, MaxTraits - 1} {
		newTable := func() *Table {
			table := NewTable(0)
			for n := range crashes {
				crash(table, uint64(n), at(n), wideTraits(segments, content+Trait(n))...)
			}
			return table
		}
		traits := wideTraits(segments, content+crashes)
		b.Run(fmt.Sprint(segments, " segments, request"), func(b *testing.B) {
			table := newTable()
			for b.Loop() {
				table.Attempts(traits)
				table.Refusal(traits, at(crashes))
			}
		})
		b.Run(fmt.Sprint(segments, " segments, answer without a crash before"), func(b *testing.B) {
			table := NewTable(0)
			for b.Loop() {
				table.RecordAnswer(StageWhole, traits, at(crashes))
			}
		})
		b.Run(fmt.Sprint(segments, " segments, crash"), func(b *testing.B) {
			table := newTable()
			for n := 0; b.Loop(); n++ {
				crash(table, uint64(crashes+n%2), at(crashes), traits...)
			}
		})
	}
}
