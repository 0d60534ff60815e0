// Package acaciasystem holds the tests that run the real programs as separate
// processes over loopback.
//
// Life span: process.
package acaciasystem
