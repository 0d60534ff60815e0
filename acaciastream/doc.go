// Package acaciastream reads the records of one stream of the platform's log in order.
//
// Its state lives as long as the process.
package acaciastream
