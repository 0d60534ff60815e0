// Package acaciaroute holds the interfaces through which the scheduler meets
// the outside world and the types that all of its packages share.
//
// Life span: process. Implementations of the interfaces live in packages below
// this one; a new protocol behind an interface is a new package and changes no
// decision.
package acaciaroute
