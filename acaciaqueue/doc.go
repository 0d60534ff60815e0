// Package acaciaqueue orders the reservations that wait at one agent: by class, then by
// organisation, the one that has received the least service first, then by deadline.
//
// Its state lives as long as the request.
package acaciaqueue
