// Package acaciapeer tracks the other processes of the system: which of them are alive,
// what they run and what they have used. It decides to which addresses messages go and
// which messages count; the caller sends and receives the datagrams.
//
// Its state lives as long as the process.
package acaciapeer
