// Package acaciatimeline merges the events of all processes into one ordered
// view, as text and as a page.
//
// Life span: process.
package acaciatimeline
