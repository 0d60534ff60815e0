// Package acaciakey decides through the platform log which request holds an idempotency
// key.
//
// Its state lives as long as the process, except for a claim, which outlives its request:
// it stays in the index until another claim replaces it or it is removed after twice
// KeyRetention.
package acaciakey
