// Package acaciaprocess holds what entries and agents have in common: the peer
// server and its clients, the directory of VMs, the recorded events and the metrics.
//
// Its state lives as long as the process.
package acaciaprocess
