// Package acacialength predicts the number of events of a stream from its caller's own estimate, by what finished
// streams have shown of such estimates.
//
// Its state lives as long as the process.
package acacialength
