package acaciakey

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// Claim states that a request claims an idempotency key. The claim in force holds the
	// key.
	Claim struct {
		KeyHash       string `json:"key_hash"`
		RequestDigest string `json:"body_digest"`
		RequestID     string `json:"request_id"`
		// Entry is the address of the entry that serves the request.
		Entry string `json:"entry"`
		// At is when the claim was made.
		At time.Time `json:"at"`
		// Replaces is the request ID of an earlier holder that provably never runs, or
		// empty.
		Replaces string `json:"replaces,omitempty"`
	}

	// batch is the data of one record in the stream of claims.
	batch struct {
		BatchID string  `json:"batch_id"`
		Claims  []Claim `json:"claims"`
	}

	// index holds the claims in force by key hash. All entries derive the same index from
	// the log.
	index struct {
		holders map[string]Claim
	}
)

const (
	// KeyRetention is how long a claim holds its key.
	KeyRetention = 30 * time.Minute

	hashBytes = 16
)

// KeyHash returns the hash that identifies a key of an organisation at a service.
func KeyHash(organisation, service, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + service + "\x00" + key))
	return hex.EncodeToString(sum[:hashBytes])
}

// RequestDigest returns a digest of a request's method, path and body, which tells
// requests with different content apart.
func RequestDigest(method, path string, body []byte) string {
	hash := sha256.New()
	hash.Write([]byte(method + "\x00" + path + "\x00"))
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil)[:hashBytes])
}

// apply applies the claims of a record in order and returns the ID of their batch. The
// result depends only on the records, so that all entries agree on the holders.
func (x *index) apply(record acaciaroute.Record) (batchID string) {
	var b batch
	if err := json.Unmarshal(record.Data, &b); err != nil {
		return ""
	}
	for _, claim := range b.Claims {
		holder, held := x.holders[claim.KeyHash]
		expired := claim.At.Sub(holder.At) > KeyRetention
		if !held || expired || claim.Replaces != "" && claim.Replaces == holder.RequestID {
			x.holders[claim.KeyHash] = claim
		}
	}
	return b.BatchID
}

// removeExpired removes claims older than twice KeyRetention, which can no longer conflict
// with a new claim.
func (x *index) removeExpired(now time.Time) {
	for hash, holder := range x.holders {
		if now.Sub(holder.At) > 2*KeyRetention {
			delete(x.holders, hash)
		}
	}
}
