// Package acaciaprocess holds what entries and agents have in common: the peer
// server and clients, the view of the VM list, and the time line.
//
// Life span: process.
package acaciaprocess
