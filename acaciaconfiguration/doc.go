// Package acaciaconfiguration determines the targets in force. Every process applies
// the same acceptance rule to the publications in the platform's log, and processes
// pass the newest accepted version on to each other. A version is never replaced by
// an older one.
//
// Its state lives as long as the process, except for a Snapshot, which lives as long as
// its version of the targets.
package acaciaconfiguration
