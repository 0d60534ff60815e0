package acaciaprefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the average length of a token in prompt text.
	BytesPerToken = 4
	// BlockTokens is the length in tokens of one cached block.
	BlockTokens = 64
	// MaxBlocks bounds the hashes that a reservation carries.
	MaxBlocks = 8

	blockBytes = BlockTokens * BytesPerToken
)

// Tokens estimates the length of text in tokens.
func Tokens(text []byte) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// Hashes returns chained hashes of the leading blocks of text, one for 1, 2, 4
// blocks and so on, so that a few hashes tell long shared prefixes apart.
func Hashes(model string, text []byte) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	done := 0
	for blocks := 1; len(hashes) < MaxBlocks; blocks *= 2 {
		end := blocks * blockBytes
		if end > len(text) {
			break
		}
		_, _ = digest.Write(text[done:end])
		done = end
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// CoveredTokens returns how many tokens the first n hashes of Hashes cover.
func CoveredTokens(n int) int {
	if n == 0 {
		return 0
	}
	return BlockTokens << (n - 1)
}

// Score orders nodes for a key by rendezvous hashing: the highest score wins.
func Score(key uint64, node string) uint64 {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], key)
	digest := xxhash.New()
	_, _ = digest.Write(buffer[:])
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}
