// Package acaciaorigin remembers which software version began each stream, so that a stream that
// has broken off goes on at that version only. It holds what one gateway knows itself, what
// others tell it, and what must outlast them all; the gateway sends messages and calls the store.
//
// While one version of a service is in service, there is nothing to remember: that version
// began all its streams. Records are needed from the moment at which a second one registers
// until the last stream that the first one may have begun can't be resumed any more.
//
// Its state lives as long as the process.
package acaciaorigin
