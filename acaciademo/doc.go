// Package acaciademo runs a complete small system with stand-ins in one process
// over loopback, and measures it from the callers' side.
//
// Its state lives as long as the process.
package acaciademo
