// Package acaciapeer tracks which other processes of the system are alive, and defines the
// message in which each process reports what it runs and what it has used. It decides to
// which addresses messages go and which received messages count; the gateway sends and
// receives the datagrams.
//
// Its state lives as long as the process.
package acaciapeer
