// Package acaciacapacity holds the benchmarks from which docs/CAPACITY.md is
// worked out. One command prints all slopes:
//
//	go test -run '^$' -bench . ./acaciacapacity
//
// Life span: process.
package acaciacapacity
