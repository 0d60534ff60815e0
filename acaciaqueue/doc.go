// Package acaciaqueue orders the reservations that wait at one agent: by class,
// then by the organisation furthest behind its share, then by deadline.
//
// Life span: request.
package acaciaqueue
