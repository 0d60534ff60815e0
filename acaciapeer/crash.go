package acaciapeer

import (
	"time"

	"github.com/acaciaroute/acaciaroute/acaciacrash"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

func encodeCrash(record acaciacrash.Record, now time.Time) *acaciawire.CrashRecord {
	wire := &acaciawire.CrashRecord{Crash: record.Crash, ObservedMsAgo: encodeAge(record.ObservedAt, now), Stage: uint32(record.Stage)}
	for _, told := range record.Traits {
		wire.Traits = append(wire.Traits, uint64(told.Trait))
		wire.Attempts = append(wire.Attempts, encodeCount(told.Attempt))
		wire.Before = append(wire.Before, uint32(told.Before))
		wire.Since = append(wire.Since, uint32(told.Since))
	}
	wire.Before, wire.Since = omitZeros(wire.Before), omitZeros(wire.Since)
	return wire
}

// omitZeros returns nil for a list without any number but zero.
func omitZeros(list []uint32) []uint32 {
	for _, number := range list {
		if number != 0 {
			return list
		}
	}
	return nil
}

func decodeCrash(wire *acaciawire.CrashRecord, now time.Time) acaciacrash.Record {
	record := acaciacrash.Record{Crash: wire.Crash, ObservedAt: decodeAge(wire.ObservedMsAgo, now), Stage: decodeStage(int(wire.Stage))}
	for i, trait := range wire.Traits {
		record.Traits = append(record.Traits, acaciacrash.TraitRecord{
			Trait: acaciacrash.Trait(trait), Attempt: at(wire.Attempts, i), Before: decodeStage(at(wire.Before, i)), Since: decodeStage(at(wire.Since, i)),
		})
	}
	return record
}

// decodeStage returns a stage; a later one than there is counts as the last.
func decodeStage(number int) acaciacrash.Stage {
	return min(acaciacrash.Stage(number), acaciacrash.StageWhole)
}
