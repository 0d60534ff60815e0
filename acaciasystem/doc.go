// Package acaciasystem holds the tests that run the real programs as separate
// processes over loopback.
//
// Its state lives as long as the process.
package acaciasystem
