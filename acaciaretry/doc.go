// Package acaciaretry decides when calls to a server that fails them are repeated, for all callers in a process
// together. It makes no calls and waits for nothing.
//
// Its state lives as long as the process.
package acaciaretry
