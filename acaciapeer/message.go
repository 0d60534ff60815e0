package acaciapeer

import (
	"encoding/json"

	"github.com/acaciaroute/acaciaroute/acaciaschedule"
)

type (
	// Message is what a process sends to all others many times a second.
	Message struct {
		Process string `json:"process"`
		// Started identifies a run of the process: the wall-clock time of its start in
		// nanoseconds.
		Started int64 `json:"started"`
		// Sequence increases with each message of a run.
		Sequence uint64 `json:"sequence"`
		Region   string `json:"region"`
		// Version is the newest configuration version that the process has.
		Version int64 `json:"version"`
		// Report describes the process's requests.
		acaciaschedule.Report
		// Used is what each organisation has used through this process since it started.
		Used map[string]float64 `json:"used,omitempty"`
		// StoreReadableMS is for how many milliseconds the process has been able to
		// read the store without interruption.
		StoreReadableMS int64 `json:"store_ms,omitempty"`
		// CrashCounts counts the endpoints that crashed while they ran a request, by
		// the hash of the request's content.
		CrashCounts map[uint64]int `json:"crashes,omitempty"`
		// Leaving marks the last message of a run.
		Leaving bool `json:"leaving,omitempty"`
	}
)

// Encode returns the JSON encoding of the message.
func (m Message) Encode() ([]byte, error) {
	return json.Marshal(m)
}

// Decode parses a message encoded by Encode.
func Decode(data []byte) (Message, error) {
	var m Message
	err := json.Unmarshal(data, &m)
	return m, err
}
