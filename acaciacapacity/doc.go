// Package acaciacapacity contains the benchmarks behind the figures in
// docs/CAPACITY.md. Most of them run at several sizes, so that the cost per item can be
// derived. This command runs them all:
//
//	go test -run '^$' -bench . ./acaciacapacity
//
// Its state lives as long as the process.
package acaciacapacity
