package acaciagateway

import "github.com/cespare/xxhash/v2"

type (
	// suspects counts the endpoints that died while they ran a content, over all
	// processes.
	suspects struct {
		own   map[uint64]int
		heard map[string]map[uint64]int
	}
)

const (
	// maxDeaths is how many endpoints a content may take with it before it is refused.
	maxDeaths = 2
	// maxSuspects bounds the contents that are remembered.
	maxSuspects = 64
)

func newSuspects() *suspects {
	return &suspects{own: map[uint64]int{}, heard: map[string]map[uint64]int{}}
}

// died counts one more death of an endpoint that ran a content.
func (s *suspects) died(content uint64) {
	if _, known := s.own[content]; !known && len(s.own) >= maxSuspects {
		clear(s.own)
	}
	s.own[content]++
}

// ran clears a content of which an endpoint has given a whole answer.
func (s *suspects) ran(content uint64) {
	delete(s.own, content)
}

// hear takes what another process has counted.
func (s *suspects) hear(process string, crashes map[uint64]int) {
	if len(crashes) == 0 {
		delete(s.heard, process)
		return
	}
	s.heard[process] = crashes
}

// banned reports whether a content has taken too many endpoints with it.
func (s *suspects) banned(content uint64) bool {
	deaths := s.own[content]
	for _, crashes := range s.heard {
		deaths += crashes[content]
	}
	return deaths > maxDeaths
}

// contentHash identifies a request by what it asks, whatever its ID.
func contentHash(method, target, organisation string, body []byte) uint64 {
	h := xxhash.New()
	for _, part := range []string{method, target, organisation} {
		// Writes to a hash do not fail.
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return h.Sum64()
}
