// Package acaciaentry implements the entry, the process that accepts callers'
// requests. It validates each request, obtains a grant for it from an agent, relays
// the response and reports the outcome.
//
// Its state lives as long as the process.
package acaciaentry
