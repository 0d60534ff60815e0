// Package acaciakey decides, through the platform's log, which request holds an
// idempotency key.
//
// Life span: request.
package acaciakey
