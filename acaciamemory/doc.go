// Package acaciamemory decides how much memory of a process callers' requests and endpoints' answers may hold,
// and which of them give way when it is used up. It decides only: the owners of the memory report what they
// hold and end what gives way.
//
// Its state lives as long as the process.
package acaciamemory
