// Package acaciarollout decides how the requests of a service are moved from its old software version to the
// one that operators have ordered: how many requests the target may get, when it gets more, and whether the
// order is completed or rolled back. It has no input or output; the gateway reads and writes the store,
// exchanges the reports and places the requests.
//
// Every gateway has a Table of its own and decides by itself. What a gateway sends to the target before the
// verdict is limited by its own counts alone, so that the limit holds whichever messages are lost.
//
// Its state lives as long as the process.
package acaciarollout
