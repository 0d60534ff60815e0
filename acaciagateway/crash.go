package acaciagateway

import "github.com/cespare/xxhash/v2"

type (
	// crashCounts counts, for each content hash, the endpoints that crashed while running a
	// request with that content. It has the counts of this process and those that peers
	// reported.
	crashCounts struct {
		local  map[uint64]int
		byPeer map[string]map[uint64]int
	}
)

const (
	// maxCrashes is how many crashes a content may cause; after one more, it is refused.
	maxCrashes = 2
	// maxTrackedContents bounds the contents for which this process counts crashes; beyond it,
	// its counts start again from zero.
	maxTrackedContents = 64
)

func newCrashCounts() *crashCounts {
	return &crashCounts{local: map[uint64]int{}, byPeer: map[string]map[uint64]int{}}
}

// recordCrash counts a crash of an endpoint that ran the content.
func (c *crashCounts) recordCrash(hash uint64) {
	if _, known := c.local[hash]; !known && len(c.local) >= maxTrackedContents {
		clear(c.local)
	}
	c.local[hash]++
}

// recordSuccess resets the local count of a content for which an endpoint has given a complete
// response.
func (c *crashCounts) recordSuccess(hash uint64) {
	delete(c.local, hash)
}

// setPeerCounts replaces the counts reported by another process.
func (c *crashCounts) setPeerCounts(process string, crashes map[uint64]int) {
	if len(crashes) == 0 {
		delete(c.byPeer, process)
		return
	}
	c.byPeer[process] = crashes
}

// isBanned reports whether endpoints have crashed more than maxCrashes times while they ran
// requests with the content.
func (c *crashCounts) isBanned(hash uint64) bool {
	total := c.local[hash]
	for _, crashes := range c.byPeer {
		total += crashes[hash]
	}
	return total > maxCrashes
}

// contentHash identifies a request by its content, regardless of its ID.
func contentHash(method, target, organisation string, body []byte) uint64 {
	h := xxhash.New()
	for _, part := range []string{method, target, organisation} {
		// Writes to a hash never fail.
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return h.Sum64()
}
