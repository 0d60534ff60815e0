// Package acaciaorder issues orders to engines. One process at a time plans and sends
// orders while it holds a lease in the platform's log. Agents reject an order if
// another process has taken the lease since it was issued.
//
// Its state lives as long as the process.
package acaciaorder
