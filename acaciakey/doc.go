// Package acaciakey decides through the platform log which request holds an idempotency
// key.
//
// Its state lives as long as the request.
package acaciakey
