// Package acacialog writes a process's structured log lines without ever waiting for
// who reads them, and bounds how many there are.
//
// Life span: process.
package acacialog
