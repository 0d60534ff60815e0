package acaciacrash

import (
	"maps"
	"slices"
	"time"
)

type (
	// Table holds what is known of crashes and the bans that follow from it. The traits of a request that are given to it are
	// distinct, and the last one is the content. It is not safe for concurrent use.
	Table struct {
		// jitter is the share by which this process prolongs bans.
		jitter  float64
		crashes map[uint64]*endpointCrash
		// attempts holds the traits that crashes speak against.
		attempts map[Trait]attemptSpan
		bans     []*Ban
		// answered holds how far answers to requests with segments have come that this process knows of.
		answered answeredTraits
		// outboxes get the records that this process adds or changes itself.
		outboxes []*Outbox
	}
)

const (
	// MaxTraits is the most traits that a request may have. Its record still fits into a message.
	MaxTraits = 3 << 10
	// MaxJitter is the most by which a process should prolong bans, as a share.
	MaxJitter = 0.5

	// minEarlyAttempts is the number of attempts that ban a trait if a crash ended them as the answer began, minAttempts
	// the number if the answers had come further.
	minEarlyAttempts = 2
	minAttempts      = 3
	// crashLifetime is how long crashes are kept, maxCrashes how many, and maxTraitRecords how many traits they may hold:
	// the oldest crashes are dropped, each whole, because a part of its traits would be suspect in place of all.
	crashLifetime   = 2 * maxBan
	maxCrashes      = 32
	maxTraitRecords = 1 << 16
)

// NewTable returns an empty table. Bans last longer by a share of jitter, which should differ
// between processes, so that they do not all try a banned trait again at the same time.
func NewTable(jitter float64) *Table {
	return &Table{jitter: jitter, crashes: map[uint64]*endpointCrash{}, answered: newAnsweredTraits()}
}

// Attempts returns the number of the attempt, for each of the traits, that a request makes when
// it is sent now.
func (t *Table) Attempts(traits []Trait) []int {
	attempts := make([]int, len(traits))
	for i, trait := range traits {
		attempts[i] = t.attempts[trait].last + 1
	}
	return attempts
}

// Suspects reports whether a request with one of the traits crashed an endpoint and none has been
// answered since.
func (t *Table) Suspects(traits []Trait) bool {
	return slices.ContainsFunc(traits, func(trait Trait) bool {
		_, suspected := t.attempts[trait]
		return suspected
	})
}

// RecordCrash records that a request with the traits ran on an endpoint that crashed, and the stage that the answer had
// reached; after lastSuspectStage that says nothing of the request. attempts is what Attempts returned for them when the request was sent.
func (t *Table) RecordCrash(crash uint64, stage Stage, traits []Trait, attempts []int, now time.Time) {
	if stage > lastSuspectStage {
		return
	}
	record := Record{Crash: crash, ObservedAt: now, Stage: stage}
	for i, trait := range traits {
		before := t.answered.reached(trait)
		isContent := i == len(traits)-1
		if stage > StageBegun && before > stage && !isContent {
			// The crash doesn't speak against it, and needn't be told.
			continue
		}
		record.Traits = append(record.Traits, TraitRecord{Trait: trait, Attempt: attempts[i], Before: before})
	}
	if len(traits) > 1 && len(record.Traits) == 1 {
		// No segment is suspect.
		return
	}
	if t.add(record) {
		t.tell(recordKey{crash, record.content()})
	}
	t.decide(now)
}

// RecordAnswer records that the answer to a request with the traits has reached a stage. That clears them
// of all crashes so far in which the answers had not come as far.
func (t *Table) RecordAnswer(reached Stage, traits []Trait, now time.Time) {
	for _, segment := range traits[:max(len(traits)-1, 0)] {
		t.answered.add(segment, reached)
	}
	if !t.Suspects(traits) {
		return
	}
	for _, c := range t.crashes {
		t.tell(c.recordAnswer(reached, traits)...)
	}
	t.decide(now)
}

// Merge applies the records of another process and reports whether they tell anything new. If this
// process knows that answers had come further before, it tells the others.
func (t *Table) Merge(records []Record, now time.Time) bool {
	changed := false
	for _, record := range records {
		if len(record.Traits) == 0 || record.Stage > lastSuspectStage {
			continue
		}
		changed = t.add(record) || changed
		answered := t.crashes[record.Crash].recordEarlier(record.traits(), t.answered.reached)
		changed = changed || len(answered) > 0
		t.tell(answered...)
	}
	if changed {
		t.decide(now)
	}
	return changed
}

// Refusal returns the ban for which a request with the traits is refused now; nil if it may
// run. Of requests with a trait whose ban has ended, one may run in each trialInterval; a nil
// result counts as that one.
func (t *Table) Refusal(traits []Trait, now time.Time) *Ban {
	if ban := t.WouldRefuse(traits, now); ban != nil {
		return ban
	}
	for _, ban := range t.bans {
		if ban.applies(traits) {
			ban.nextTrial = now.Add(trialInterval)
		}
	}
	return nil
}

// WouldRefuse returns what Refusal would return, and doesn't count as a trial.
func (t *Table) WouldRefuse(traits []Trait, now time.Time) *Ban {
	for _, ban := range t.bans {
		if ban.applies(traits) && (ban.inForce(now) || now.Before(ban.nextTrial)) {
			return ban
		}
	}
	return nil
}

// BanInForce returns a ban in force on requests with the traits; nil if there is none.
func (t *Table) BanInForce(traits []Trait, now time.Time) *Ban {
	for _, ban := range t.bans {
		if ban.inForce(now) && ban.applies(traits) {
			return ban
		}
	}
	return nil
}

// Bans returns the bans, those included that have ended but whose traits have not been answered
// since.
func (t *Table) Bans() []Ban {
	bans := make([]Ban, 0, len(t.bans))
	for _, ban := range t.bans {
		bans = append(bans, *ban)
	}
	slices.SortFunc(bans, Ban.compare)
	return bans
}

// decide derives the bans from the crashes: as few traits as explain them. What a
// trait explains does not count against the traits that were there, too.
func (t *Table) decide(now time.Time) {
	t.removeOld(now)
	crashes := t.sorted()
	t.attempts = attemptSpans(crashes)
	byTrait := evidenceByTrait(crashes, t.attempts)
	explained := map[uint64]bool{}
	var bans []*Ban
	for {
		suspects := make([]suspect, 0, len(byTrait))
		for trait, all := range byTrait {
			suspects = append(suspects, suspect{trait, weigh(all, explained)})
		}
		suspects = likeliest(suspects)
		if len(suspects) == 0 {
			break
		}
		ban := newBan(suspects, t.jitter)
		ban.nextTrial = t.nextTrial(ban)
		bans = append(bans, ban)
		for _, crash := range suspects[0].weight.crashes {
			explained[crash] = true
		}
	}
	t.bans = bans
}

// nextTrial returns when a request may run next that a new ban applies to once it has ended: a former ban
// on a part of its traits holds on.
func (t *Table) nextTrial(ban *Ban) time.Time {
	for _, known := range t.bans {
		if known.applies(ban.Traits) {
			return known.nextTrial
		}
	}
	return time.Time{}
}

// add adds what a record tells, and reports whether that is new.
func (t *Table) add(record Record) bool {
	c := t.crashes[record.Crash]
	if c == nil {
		c = newEndpointCrash(record.Crash, record.ObservedAt)
		t.crashes[record.Crash] = c
	}
	return c.merge(record)
}

// tell tells the other processes of records.
func (t *Table) tell(keys ...recordKey) {
	for _, outbox := range t.outboxes {
		for _, key := range keys {
			outbox.add(key)
		}
	}
}

// removeOld drops the crashes that are too old, and the oldest ones beyond the bound but for the newest.
func (t *Table) removeOld(now time.Time) {
	oldest := now.Add(-crashLifetime)
	maps.DeleteFunc(t.crashes, func(_ uint64, c *endpointCrash) bool { return c.observedAt.Before(oldest) })
	size := 0
	for _, c := range t.crashes {
		size += c.size()
	}
	for _, c := range t.sorted() {
		within := len(t.crashes) <= maxCrashes && size <= maxTraitRecords
		if within || len(t.crashes) == 1 {
			return
		}
		delete(t.crashes, c.id)
		size -= c.size()
	}
}

// sorted returns all crashes by the time at which they were observed.
func (t *Table) sorted() []*endpointCrash {
	crashes := slices.Collect(maps.Values(t.crashes))
	sortByObservation(crashes)
	return crashes
}

// keys returns the keys of all records, by the time of the crash.
func (t *Table) keys() []recordKey {
	var keys []recordKey
	for _, c := range t.sorted() {
		keys = append(keys, c.keys()...)
	}
	return keys
}

// suspectKeys returns the keys of the records that speak against a segment, or of requests without segments, by the time of
// the crash.
func (t *Table) suspectKeys() []recordKey {
	var keys []recordKey
	for _, c := range t.sorted() {
		keys = append(keys, c.suspectKeys()...)
	}
	return keys
}

// record returns a record, nil if it has been dropped.
func (t *Table) record(key recordKey) *Record {
	c := t.crashes[key.crash]
	if c == nil {
		return nil
	}
	return c.record(key.content)
}
