// Package acaciastall decides when a stream counts as stalled: its endpoint goes on sending bytes, but has completed no
// event for half as long again as the pause after which callers leave. Bytes of an unfinished event and comments are no
// progress; time in which the caller takes nothing, or in which the process is suspended, doesn't count. An endpoint that
// sends nothing is never stalled.
//
// It has no input or output and no clock.
//
// Its state lives as long as a request's call to an endpoint.
package acaciastall
