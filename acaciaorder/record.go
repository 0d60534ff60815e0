package acaciaorder

import (
	"encoding/json"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// Instruction is what an engine is to do.
	Instruction struct {
		// VM is the ID of the engine's VM.
		VM      string                  `json:"vm"`
		Service string                  `json:"service"`
		Region  string                  `json:"region"`
		Action  acaciaroute.OrderAction `json:"action"`
		Model   string                  `json:"model"`
	}

	// record is one entry of the stream of orders. It takes or renews the lease for
	// its holder, and may give an order.
	record struct {
		RecordID string `json:"record_id"`
		Holder   string `json:"holder"`
		// After is the offset of the newest record that the holder had read.
		After       acaciaroute.Offset `json:"after"`
		Instruction *Instruction       `json:"instruction,omitempty"`
	}
)

// noRecord is the offset before the first one of a stream.
const noRecord acaciaroute.Offset = -1

// parseRecord returns the record and whether it counts: one that was written
// without knowledge of the record before it counts for nothing. The verdict needs
// no other record, so that all readers reach the same, whatever retention has
// dropped.
func parseRecord(entry acaciaroute.Record) (record, bool) {
	var r record
	if err := json.Unmarshal(entry.Data, &r); err != nil {
		return record{}, false
	}
	return r, r.After == entry.Offset-1
}
