// Package acaciakey decides through the platform log which request holds an idempotency
// key.
//
// Life span: request.
package acaciakey
