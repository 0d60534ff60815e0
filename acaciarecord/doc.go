// Package acaciarecord keeps a process's record of which software versions began its streams (acaciaorigin) in the store,
// and reads the records of all processes at its start and when a resumed stream needs them.
//
// Its state lives as long as the process.
package acaciarecord
