// Package acaciaevent records what a process does as events with numbered kinds,
// whose stamps order them on one timeline across all processes.
//
// Its state lives as long as the process.
package acaciaevent
