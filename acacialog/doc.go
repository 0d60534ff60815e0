// Package acacialog writes a process's structured log lines without ever blocking on a
// slow reader, and limits the number of lines with the same message in each second.
//
// Its state lives as long as the process.
package acacialog
