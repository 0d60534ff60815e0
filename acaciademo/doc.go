// Package acaciademo runs a whole small system in one process over loopback,
// with stand-ins, and measures it as its callers see it.
//
// Life span: process.
package acaciademo
