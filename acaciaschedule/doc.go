// Package acaciaschedule decides, for one process that passes requests straight to
// endpoints, which request waits, which is turned away and which endpoint runs it. It has
// no input or output: the time and what the other processes report are passed in.
//
// The load patterns that it answers, a file each: places shared by processes that see each
// other late (place.go), engines of unlike and changing speed (speed.go), endpoints that
// fail (failure.go), a crest of several times the capacity (queue.go).
//
// Life span: process.
package acaciaschedule
