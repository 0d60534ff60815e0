// Package acaciabudget bounds what a process spends of what all processes share: the
// quotas of organisations, and the requests that may be sent to a second endpoint.
//
// Life span: process.
package acaciabudget
