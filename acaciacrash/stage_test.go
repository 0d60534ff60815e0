package acaciacrash

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

type (
	// fleet is a number of endpoints that serve streams at the same time, and processes that send them requests.
	fleet struct {
		random    *rand.Rand
		tables    []*Table
		outboxes  []*Outbox
		endpoints []*fleetEndpoint
		step      int
		messages  map[int][]func(now time.Time)
		crashes   int
		contents  Trait

		// begun and refused count the harmless requests, cut those that a crash ended.
		begun, refused, cut int
		// crashSteps holds the steps of the crashes by requests, sentSteps when requests that crash endpoints were sent.
		crashSteps, sentSteps []int
	}

	fleetEndpoint struct {
		// downUntil is the step at which the endpoint is back.
		downUntil int
		streams   []*fleetStream
	}

	fleetStream struct {
		table    *Table
		traits   []Trait
		attempts []int
		events   int
		// length is the number of events of the stream. It crashes its endpoint before the event crashAt, -1 for never.
		length, crashAt int
		stage           Stage
	}
)

// Traits of streams; each stands for a range that no other one reaches into.
const (
	fleetCommon  Trait = 1 << 20
	fleetDeadly  Trait = 2 << 20
	fleetCaller  Trait = 3 << 20
	fleetContent Trait = 4 << 20
)

const (
	// An event of each stream comes with a step, and a message takes fleetMessageSteps.
	fleetStepTime     = 20 * time.Millisecond
	fleetMessageSteps = 2
	// fleetDownSteps is how long a crashed endpoint is away, fleetWindowSteps the time after the fifth crash from which on
	// few requests with a deadly segment may reach endpoints, and twice that the time from which on harmless ones must begin.
	fleetDownSteps   = 225
	fleetWindowSteps = 200
)

func newFleet(random *rand.Rand, processes, endpoints int) *fleet {
	f := &fleet{random: random, messages: map[int][]func(time.Time){}}
	for range processes {
		table := NewTable(random.Float64() * MaxJitter)
		f.tables, f.outboxes = append(f.tables, table), append(f.outboxes, table.NewOutbox())
	}
	for range endpoints {
		f.endpoints = append(f.endpoints, &fleetEndpoint{})
	}
	return f
}

func (f *fleet) now() time.Time {
	return epoch.Add(time.Duration(f.step) * fleetStepTime)
}

// send sends a stream from a process to an endpoint and reports whether it was sent; it isn't if it is refused or no endpoint is up.
func (f *fleet) send(length, crashAt int, segments ...Trait) (sent bool) {
	f.contents++
	traits := append(segments, fleetContent+f.contents)
	table := f.tables[f.random.IntN(len(f.tables))]
	if table.Refusal(traits, f.now()) != nil {
		return false
	}
	for _, i := range f.random.Perm(len(f.endpoints)) {
		if e := f.endpoints[i]; e.downUntil <= f.step {
			e.streams = append(e.streams, &fleetStream{table: table, traits: traits, attempts: table.Attempts(traits), length: length, crashAt: crashAt})
			return true
		}
	}
	return true
}

// sendHarmless sends a harmless stream.
func (f *fleet) sendHarmless(length int, segments ...Trait) {
	if !f.send(length, -1, segments...) {
		f.refused++
		return
	}
	f.begun++
}

// sendDeadly sends a stream that crashes its endpoint before an event.
func (f *fleet) sendDeadly(crashAt int, segments ...Trait) {
	if f.send(crashAt+1, crashAt, segments...) {
		f.sentSteps = append(f.sentSteps, f.step)
	}
}

// crash ends an endpoint and what it runs.
func (f *fleet) crash(e *fleetEndpoint) {
	f.crashes++
	for _, s := range e.streams {
		s.table.RecordCrash(uint64(f.crashes), s.stage, s.traits, s.attempts, f.now())
		if s.crashAt < 0 {
			f.cut++
		}
	}
	e.streams, e.downUntil = nil, f.step+fleetDownSteps
}

// advance lets an event of each stream come, and the processes tell each other.
func (f *fleet) advance() {
	for _, e := range f.endpoints {
		for _, s := range e.streams {
			if s.events == s.crashAt {
				f.crash(e)
				f.crashSteps = append(f.crashSteps, f.step)
				break
			}
		}
		running := e.streams[:0]
		for _, s := range e.streams {
			if s.advance(f.now()) {
				running = append(running, s)
			}
		}
		e.streams = running
	}
	for _, deliver := range f.messages[f.step] {
		deliver(f.now())
	}
	delete(f.messages, f.step)
	for i, outbox := range f.outboxes {
		records := outbox.Next(f.now())
		f.messages[f.step+fleetMessageSteps] = append(f.messages[f.step+fleetMessageSteps], func(now time.Time) {
			for j, table := range f.tables {
				if j != i {
					table.Merge(records, now)
				}
			}
		})
	}
	f.step++
}

// advance lets an event come and reports whether the stream goes on.
func (s *fleetStream) advance(now time.Time) bool {
	s.events++
	if s.events >= s.length && s.crashAt < 0 {
		s.table.RecordAnswer(StageWhole, s.traits, now)
		return false
	}
	if stage := StageOf(s.events); stage > s.stage {
		s.stage = stage
		s.table.RecordAnswer(stage, s.traits, now)
	}
	return true
}

// lateSent returns the number of requests that crash endpoints and were sent later than the window after the fifth crash.
func (f *fleet) lateSent() (late int) {
	if len(f.crashSteps) < crashesBeforeRefusal {
		return 0
	}
	for _, step := range f.sentSteps {
		if step > f.crashSteps[crashesBeforeRefusal-1]+fleetWindowSteps {
			late++
		}
	}
	return late
}

// Guards against taking a request for harmless because an answer to it has begun: it may crash its endpoint some events
// later, and what it has in common with others must be refused as soon as if it crashed at once, without
// refusing harmless streams that run beside it.
func TestSegmentThatCrashesEndpointsLaterIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		crashAt := rapid.IntRange(0, 40).Draw(t, "events before the crash")
		length := rapid.IntRange(10, 100).Draw(t, "events of harmless streams")
		soundEvery, deadlyEvery := rapid.IntRange(2, 25).Draw(t, "sound every"), rapid.IntRange(10, 60).Draw(t, "deadly every")
		callers := rapid.IntRange(1, 5).Draw(t, "callers")
		f := newFleet(rand.New(rand.NewPCG(seed, 0)), rapid.IntRange(1, 4).Draw(t, "processes"), 9)
		const deadlyFrom, end = 300, 2000
		refusedBefore, begunBefore := 0, 0
		for f.step < end {
			if f.step%soundEvery == 0 {
				f.sendHarmless(length, fleetCommon, fleetCaller+Trait(f.random.IntN(callers)))
			}
			if f.step >= deadlyFrom && f.step%deadlyEvery == 0 {
				f.sendDeadly(crashAt, fleetCommon, fleetDeadly, fleetCaller+Trait(f.random.IntN(callers)))
			}
			f.advance()
			if last := len(f.crashSteps); last > 0 && f.step == f.crashSteps[min(last, crashesBeforeRefusal)-1]+2*fleetWindowSteps {
				refusedBefore, begunBefore = f.refused, f.begun
			}
		}
		assert.Assert(t, f.lateSent() <= maxLateRuns, "%d requests sent late, crashes at %v", f.lateSent(), f.crashSteps)
		refused, begun := f.refused-refusedBefore, f.begun-begunBefore
		assert.Assert(t, refused <= begun, "%d harmless streams were refused, %d begun", refused, begun)
	})
}

// Guards against refusing harmless streams because endpoints crash for another cause while they run, however long the
// streams are. Some that share a segment may be cut right at their beginning, twice in a row.
func TestCrashesOfAnotherCauseRefuseFew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		length := rapid.IntRange(10, 1500).Draw(t, "events of streams")
		every := rapid.IntRange(2, 50).Draw(t, "sent every")
		crashEvery, crashing := rapid.IntRange(150, 1000).Draw(t, "crashes every"), rapid.IntRange(1, 2).Draw(t, "endpoints that crash")
		callers := rapid.IntRange(1, 5).Draw(t, "callers")
		f := newFleet(rand.New(rand.NewPCG(seed, 0)), rapid.IntRange(1, 4).Draw(t, "processes"), 9)
		const calm, end, maxRefusedPerBegun = 1600, 4000, 20
		for f.step < end {
			if f.step%every == 0 {
				f.sendHarmless(length, fleetCommon, fleetCaller+Trait(f.random.IntN(callers)))
			}
			if f.step >= calm && f.step%crashEvery == 0 {
				for _, i := range f.random.Perm(len(f.endpoints))[:crashing] {
					if e := f.endpoints[i]; e.downUntil <= f.step {
						f.crash(e)
					}
				}
			}
			f.advance()
		}
		assert.Assert(t, maxRefusedPerBegun*f.refused <= f.begun, "%d harmless streams were refused, %d begun, %d cut", f.refused, f.begun, f.cut)
	})
}
