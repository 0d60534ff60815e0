package acaciaorder

import (
	"encoding/json"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// Instruction describes the action that an engine has to carry out.
	Instruction struct {
		// VM is the ID of the engine's VM.
		VM      string                  `json:"vm"`
		Service string                  `json:"service"`
		Region  string                  `json:"region"`
		Action  acaciaroute.OrderAction `json:"action"`
		Model   string                  `json:"model"`
	}

	// record is the content of one record in the stream of orders. It takes or renews
	// the lease for its holder and may contain an order.
	record struct {
		RecordID string `json:"record_id"`
		Holder   string `json:"holder"`
		// After is the offset of the newest record that the holder had read when it
		// appended this one.
		After       acaciaroute.Offset `json:"after"`
		Instruction *Instruction       `json:"instruction,omitempty"`
	}
)

// noRecord is the offset before the first record of a stream.
const noRecord acaciaroute.Offset = -1

// parseRecord decodes a record and reports whether it is valid. A record is invalid if
// its writer had not read the record directly before it. Validity depends on no other
// record, so that all readers agree on it, whatever records retention has removed.
func parseRecord(entry acaciaroute.Record) (record, bool) {
	var r record
	if err := json.Unmarshal(entry.Data, &r); err != nil {
		return record{}, false
	}
	return r, r.After == entry.Offset-1
}
