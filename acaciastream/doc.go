// Package acaciastream reads the records of one stream of the platform's log in order.
//
// Life span: process.
package acaciastream
