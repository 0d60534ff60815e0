// Package acaciaentry is the process that callers reach: it checks requests,
// finds each a place, relays the answer and tells the outcome.
//
// Life span: process.
package acaciaentry
