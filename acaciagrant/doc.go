// Package acaciagrant decides at an agent which waiting reservation its endpoint
// takes next, and when.
//
// Life span: process.
package acaciagrant
