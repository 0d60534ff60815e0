// Package acaciaconfiguration agrees on the targets in force: publications in
// the platform's log are judged by one rule, and the newest version spreads
// between processes and never reverts.
//
// Life span: version.
package acaciaconfiguration
