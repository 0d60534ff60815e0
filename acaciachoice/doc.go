// Package acaciachoice selects endpoints at an entry: it decides which agents
// receive a request's reservation, which grant the request accepts and when the
// request is shed.
//
// Its state lives as long as the process, except for the search of a request, which lives
// until the request is decided or cancelled.
package acaciachoice
