// Package acaciaevent records what a process does as events with numbered kinds,
// whose stamps order them on one timeline across all processes.
//
// Life span: process.
package acaciaevent
