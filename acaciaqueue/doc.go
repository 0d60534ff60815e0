// Package acaciaqueue orders the reservations that wait at one agent: by class, then by
// organisation, the one that has received the least service first, then by deadline.
//
// Its state lives as long as the process, except for an item, which lives as long as its
// reservation waits, and an account with nothing waiting, which may be removed when the
// class has too many.
package acaciaqueue
