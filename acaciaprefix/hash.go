package acaciaprefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the average length of a token in the text of a prompt, in bytes.
	BytesPerToken = 4
	// BlockTokens is the length of one cached block in tokens.
	BlockTokens = 64
	// MaxHashes is the largest number of prefix hashes that a reservation carries.
	MaxHashes = 8

	blockBytes = BlockTokens * BytesPerToken
)

// EstimateTokens returns the estimated length of text in tokens.
func EstimateTokens(text []byte) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// PrefixHashes returns chained hashes of the leading blocks of text: one each for
// the first 1, 2, 4 blocks and so on, up to MaxHashes. The lengths double so that a
// few hashes are enough to tell long shared prefixes apart.
func PrefixHashes(model string, text []byte) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	hashed := 0
	for blocks := 1; len(hashes) < MaxHashes; blocks *= 2 {
		end := blocks * blockBytes
		if end > len(text) {
			break
		}
		_, _ = digest.Write(text[hashed:end])
		hashed = end
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// CoveredTokens returns the number of leading tokens that the first n hashes
// returned by PrefixHashes cover.
func CoveredTokens(n int) int {
	if n == 0 {
		return 0
	}
	return BlockTokens << (n - 1)
}

// RendezvousScore returns the rendezvous hashing score of a node for a key: the key
// belongs to the node with the highest score.
func RendezvousScore(key uint64, node string) uint64 {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], key)
	digest := xxhash.New()
	_, _ = digest.Write(buffer[:])
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}
