// Package acaciaevent records what a process does as numbered events on one
// time line over all processes.
//
// Life span: process.
package acaciaevent
