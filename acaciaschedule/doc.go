// Package acaciaschedule schedules the requests that one gateway process forwards straight
// to endpoints: it decides which requests wait, which are rejected and which endpoint runs
// each of them. The package does no input or output; the gateway passes in the time and the
// reports of the other processes.
//
// It handles these load patterns, one per file: slots that several processes share while
// each learns of the others' requests with a delay (place.go), engines of different and
// changing speed (speed.go), long pauses in the streams of slow engines (pause.go), prompts
// with long parts in common (prompt.go), streams that must go on at the software version that began
// them (version.go), failing endpoints (failure.go), endpoints that start or recover while many requests wait (pace.go),
// load peaks of
// several times the capacity (queue.go), and urgent classes that could use all of it for a
// long time (share.go).
//
// Its state lives as long as the process.
package acaciaschedule
