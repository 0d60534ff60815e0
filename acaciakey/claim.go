package acaciakey

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// Claim says that a request holds an idempotency key.
	Claim struct {
		KeyHash    string `json:"key_hash"`
		BodyDigest string `json:"body_digest"`
		RequestID  string `json:"request_id"`
		// Entry is the address of the entry that serves the request.
		Entry string `json:"entry"`
		// At is when the claim was made.
		At time.Time `json:"at"`
		// Replaces names the holder that is proved never to run.
		Replaces string `json:"replaces,omitempty"`
	}

	// batch is one record of the stream of claims.
	batch struct {
		BatchID string  `json:"batch_id"`
		Claims  []Claim `json:"claims"`
	}

	// index holds the claims in force, as all entries derive them from the log.
	index struct {
		holders map[string]Claim
	}
)

const (
	// KeyLife is how long a key is remembered.
	KeyLife = 30 * time.Minute

	hashBytes = 16
)

// Hash names a key of an organisation at a service.
func Hash(organisation, service, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + service + "\x00" + key))
	return hex.EncodeToString(sum[:hashBytes])
}

// BodyDigest tells bodies apart.
func BodyDigest(method, path string, body []byte) string {
	hash := sha256.New()
	hash.Write([]byte(method + "\x00" + path + "\x00"))
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil)[:hashBytes])
}

// apply judges the claims of a record in order. The verdict depends on the
// records alone, so that all entries reach the same.
func (x *index) apply(record acaciaroute.Record) (batchID string) {
	var b batch
	if err := json.Unmarshal(record.Data, &b); err != nil {
		return ""
	}
	for _, claim := range b.Claims {
		holder, held := x.holders[claim.KeyHash]
		expired := claim.At.Sub(holder.At) > KeyLife
		if !held || expired || claim.Replaces != "" && claim.Replaces == holder.RequestID {
			x.holders[claim.KeyHash] = claim
		}
	}
	return b.BatchID
}

// forget drops claims that no new one can meet any more.
func (x *index) forget(now time.Time) {
	for hash, holder := range x.holders {
		if now.Sub(holder.At) > 2*KeyLife {
			delete(x.holders, hash)
		}
	}
}
