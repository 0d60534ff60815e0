// Package acaciaorder gives orders to engines: one process at a time plans and
// sends them, under a lease kept in the platform's log, and agents carry out none
// whose holder has been replaced.
//
// Life span: process.
package acaciaorder
