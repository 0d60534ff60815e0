// Package acacialoop runs control state on one thread: a goroutine in a
// process, or virtual time in tests and experiments.
//
// Life span: process.
package acacialoop
