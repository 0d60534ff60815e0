package acaciapeer

import (
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciacrash"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

func encodeCrash(record acaciacrash.Record, now time.Time) *acaciawire.CrashRecord {
	wire := &acaciawire.CrashRecord{Crash: record.Crash, ObservedMsAgo: encodeAge(record.ObservedAt, now)}
	for _, told := range record.Traits {
		wire.Traits = append(wire.Traits, uint64(told.Trait))
		wire.Attempts = append(wire.Attempts, encodeCount(told.Attempt))
		wire.Cleared = append(wire.Cleared, told.Cleared)
		wire.Answered = append(wire.Answered, told.Answered)
	}
	wire.Cleared, wire.Answered = omitFalse(wire.Cleared), omitFalse(wire.Answered)
	return wire
}

// omitFalse returns nil for a list without any true value.
func omitFalse(list []bool) []bool {
	if !slices.Contains(list, true) {
		return nil
	}
	return list
}

func decodeCrash(wire *acaciawire.CrashRecord, now time.Time) acaciacrash.Record {
	record := acaciacrash.Record{Crash: wire.Crash, ObservedAt: decodeAge(wire.ObservedMsAgo, now)}
	for i, trait := range wire.Traits {
		record.Traits = append(record.Traits, acaciacrash.TraitRecord{
			Trait: acaciacrash.Trait(trait), Attempt: at(wire.Attempts, i), Cleared: isSet(wire.Cleared, i), Answered: isSet(wire.Answered, i),
		})
	}
	return record
}

// isSet returns the value at an index, false if there is none.
func isSet(list []bool, index int) bool {
	return index < len(list) && list[index]
}
