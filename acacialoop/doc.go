// Package acacialoop provides event loops that run all functions which access
// control state one at a time: on a goroutine in a process, or in virtual time in
// tests and experiments.
//
// Life span: process.
package acacialoop
