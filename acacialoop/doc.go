// Package acacialoop provides event loops that run all functions which access
// scheduling state one at a time: on a goroutine in a process, or in virtual time in
// tests and experiments.
//
// Its state lives as long as the process.
package acacialoop
