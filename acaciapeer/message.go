package acaciapeer

import (
	"encoding/json"

	"github.com/acaciaroute/acaciaroute/acaciaschedule"
)

type (
	// Message is what a process tells all others, many times a second.
	Message struct {
		Process string `json:"process"`
		// Started tells runs of the process apart, in nanoseconds of its time of day.
		Started int64 `json:"started"`
		// Sequence grows with each message of a run.
		Sequence uint64 `json:"sequence"`
		Region   string `json:"region"`
		// Version is the newest configuration that the process has.
		Version int64 `json:"version"`
		// Report tells the process's requests.
		acaciaschedule.Report
		// Used is what organisations have used through the process since its start.
		Used map[string]float64 `json:"used,omitempty"`
		// StoreMS is for how many milliseconds the process has been able to read the store
		// without a break.
		StoreMS int64 `json:"store_ms,omitempty"`
		// Crashes counts, by the hash of a request's content, the endpoints that died
		// while they ran it.
		Crashes map[uint64]int `json:"crashes,omitempty"`
		// Leaving tells that it is the last message.
		Leaving bool `json:"leaving,omitempty"`
	}
)

// Encode returns the message as bytes.
func (m Message) Encode() ([]byte, error) {
	return json.Marshal(m)
}

// Decode reads a message written by Encode.
func Decode(data []byte) (Message, error) {
	var m Message
	err := json.Unmarshal(data, &m)
	return m, err
}
