// Package acaciastream reads a stream of the log in order; a reader lives as long as its
// process.
package acaciastream
