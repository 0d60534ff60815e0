// Package acaciatimeline merges the events of all processes into one ordered
// timeline and writes it as a text table or as an HTML page.
//
// Its state lives as long as the process.
package acaciatimeline
