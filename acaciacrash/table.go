package acaciacrash

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

type (
	// Table holds what is known of crashes and the bans that follow from it. It is not safe
	// for concurrent use.
	Table struct {
		// jitter is the share by which this process prolongs bans.
		jitter  float64
		records map[recordKey]Record
		bans    map[Trait]*Ban
		// outboxes get the records that this process adds or clears itself.
		outboxes []*Outbox
	}

	// Ban says that requests with a trait are refused.
	Ban struct {
		Trait Trait
		// Crashes is the number of crashes that the trait explains.
		Crashes int
		Until   time.Time

		// nextTrial is when one more request may run although the ban has ended, because
		// the trait has not been answered since.
		nextTrial time.Time
	}
)

const (
	// MaxJitter is the most by which a process should prolong bans, as a share.
	MaxJitter = 0.5

	// minCrashes is the number of attempts ended by a crash that ban a trait.
	minCrashes = 2
	// initialBan is the duration of the first ban of a trait; it doubles with each further
	// crash, up to maxBan.
	initialBan = 30 * time.Second
	maxBan     = time.Hour
	// maxBanDoublings keeps the duration within its type.
	maxBanDoublings = 16
	// trialInterval is the time between two requests with a trait whose ban has ended.
	trialInterval = time.Second
	// recordLifetime is how long records are kept, maxRecords how many; the oldest are dropped.
	recordLifetime = 2 * maxBan
	maxRecords     = 256
)

// NewTable returns an empty table. Bans last longer by a share of jitter, which should differ
// between processes, so that they do not all try a banned trait again at the same time.
func NewTable(jitter float64) *Table {
	return &Table{jitter: jitter, records: map[recordKey]Record{}, bans: map[Trait]*Ban{}}
}

// Attempts returns the number of the attempt, for each of the traits, that a request makes when
// it is sent now.
func (t *Table) Attempts(traits []Trait) []int {
	attempts := make([]int, len(traits))
	for i := range attempts {
		attempts[i] = 1
	}
	for _, record := range t.records {
		if i := slices.Index(traits, record.Trait); i >= 0 && !record.Cleared {
			attempts[i] = max(attempts[i], record.Attempt+1)
		}
	}
	return attempts
}

// Suspects reports whether a request with one of the traits crashed an endpoint and none has been
// answered since.
func (t *Table) Suspects(traits []Trait) bool {
	for _, record := range t.records {
		if !record.Cleared && slices.Contains(traits, record.Trait) {
			return true
		}
	}
	return false
}

// RecordCrash records that a request with the traits ran unproven on an endpoint that crashed.
// The traits are in the order of their depth, the content is the last one; attempts is what
// Attempts returned for them when the request was sent.
func (t *Table) RecordCrash(crash uint64, traits []Trait, attempts []int, now time.Time) {
	for depth, trait := range traits {
		attempt := attempts[depth]
		if depth == len(traits)-1 {
			depth = ContentDepth
		}
		t.publish(Record{Crash: crash, Trait: trait, Depth: depth, Attempt: attempt, ObservedAt: now})
	}
	t.decide(now)
}

// RecordAnswer records that an endpoint has survived to answer a request with the traits, which
// clears them of all crashes so far.
func (t *Table) RecordAnswer(traits []Trait, now time.Time) {
	changed := false
	for _, record := range t.records {
		if !record.Cleared && slices.Contains(traits, record.Trait) {
			record.Cleared = true
			t.publish(record)
			changed = true
		}
	}
	if changed {
		t.decide(now)
	}
}

// Merge applies the records of another process and reports whether they tell anything new.
func (t *Table) Merge(records []Record, now time.Time) bool {
	changed := false
	for _, record := range records {
		changed = t.add(record) || changed
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
	for _, trait := range traits {
		ban := t.bans[trait]
		if ban != nil && (now.Before(ban.Until) || now.Before(ban.nextTrial)) {
			return ban
		}
	}
	for _, trait := range traits {
		if ban := t.bans[trait]; ban != nil {
			ban.nextTrial = now.Add(trialInterval)
		}
	}
	return nil
}

// BanInForce returns the ban in force on one of the traits; nil if there is none.
func (t *Table) BanInForce(traits []Trait, now time.Time) *Ban {
	for _, trait := range traits {
		if ban := t.bans[trait]; ban != nil && now.Before(ban.Until) {
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
	slices.SortFunc(bans, func(a, b Ban) int { return cmp.Compare(a.Trait, b.Trait) })
	return bans
}

// decide derives the bans from the records: as few traits as explain the crashes. What a
// trait explains does not count against the traits that were there, too.
func (t *Table) decide(now time.Time) {
	t.removeOld(now)
	byTrait := map[Trait][]Record{}
	for _, record := range t.records {
		if !record.Cleared {
			byTrait[record.Trait] = append(byTrait[record.Trait], record)
		}
	}
	explained := map[uint64]bool{}
	bans := map[Trait]*Ban{}
	for {
		ban := t.worstTrait(byTrait, explained)
		if ban == nil {
			break
		}
		if known := t.bans[ban.Trait]; known != nil {
			ban.nextTrial = known.nextTrial
		}
		bans[ban.Trait] = ban
		for _, record := range byTrait[ban.Trait] {
			explained[record.Crash] = true
		}
		delete(byTrait, ban.Trait)
	}
	t.bans = bans
}

// worstTrait returns the ban of the trait that most speaks against; nil if nothing is enough.
func (t *Table) worstTrait(byTrait map[Trait][]Record, explained map[uint64]bool) *Ban {
	var worst weight
	var worstTrait Trait
	for trait, records := range byTrait {
		w := weigh(records, explained)
		if w.attempts >= minCrashes && cmp.Or(w.compare(worst), cmp.Compare(trait, worstTrait)) > 0 {
			worst, worstTrait = w, trait
		}
	}
	if worst.attempts == 0 {
		return nil
	}
	duration := min(initialBan<<min(worst.attempts-minCrashes, maxBanDoublings), maxBan)
	return &Ban{Trait: worstTrait, Crashes: worst.crashes, Until: worst.last.Add(duration + time.Duration(t.jitter*float64(duration)))}
}

// add adds a record, or what it tells of a known one, and reports whether that is new.
func (t *Table) add(record Record) bool {
	known, present := t.records[record.key()]
	if !present {
		t.records[record.key()] = record
		return true
	}
	changed := known.merge(record)
	t.records[record.key()] = known
	return changed
}

// publish adds a record and, if it is new, tells the other processes.
func (t *Table) publish(record Record) {
	if !t.add(record) {
		return
	}
	for _, outbox := range t.outboxes {
		outbox.add(t.records[record.key()])
	}
}

// removeOld drops the records that are too old, and the oldest ones beyond the bound.
func (t *Table) removeOld(now time.Time) {
	oldest := now.Add(-recordLifetime)
	maps.DeleteFunc(t.records, func(_ recordKey, record Record) bool { return record.ObservedAt.Before(oldest) })
	if len(t.records) <= maxRecords {
		return
	}
	for _, record := range t.sorted()[:len(t.records)-maxRecords] {
		delete(t.records, record.key())
	}
}

// sorted returns all records by the time of the crash.
func (t *Table) sorted() []Record {
	records := slices.Collect(maps.Values(t.records))
	sortByObservation(records)
	return records
}
