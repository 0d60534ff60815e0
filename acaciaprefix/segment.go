package acaciaprefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Segment is a segment of a prompt. Prefix is a hash of the prompt up to the segment's end, so
// that equal prefixes have equal hashes; Tokens is the length of the segment alone.
type Segment struct {
	Prefix uint64
	Tokens int
}

// minSegmentTokens is the least length of a segment returned by ChainSegments.
const minSegmentTokens = 2 * BlockTokens

// BlockSegments returns the segments whose prefix hashes PrefixHashes returned.
func BlockSegments(hashes []uint64) []Segment {
	segments := make([]Segment, len(hashes))
	for i, hash := range hashes {
		segments[i] = Segment{Prefix: hash, Tokens: CoveredTokens(i+1) - CoveredTokens(i)}
	}
	return segments
}

// ChainSegments returns the segments of a prompt from the IDs and lengths of its parts, in
// order. It joins short parts to their successors, because recomputing them costs little.
func ChainSegments(model string, ids []uint64, tokens []int) []Segment {
	var segments []Segment
	var buffer [8]byte
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	joined := 0
	for i, id := range ids {
		binary.LittleEndian.PutUint64(buffer[:], id)
		_, _ = digest.Write(buffer[:])
		joined += tokens[i]
		if joined >= minSegmentTokens {
			segments = append(segments, Segment{Prefix: digest.Sum64(), Tokens: joined})
			joined = 0
		}
	}
	return segments
}

// CountTokens returns the length of the segments in tokens.
func CountTokens(segments []Segment) int {
	n := 0
	for _, segment := range segments {
		n += segment.Tokens
	}
	return n
}
