// Package acaciapoison identifies requests that crash the endpoints that run them.
// Requests are recognised by their content, and processes share their reports
// through the platform's log.
//
// Its state lives as long as the process, except for a verdict, which ends at the latest
// when suspectDuration or banDuration has passed since its report. A process that
// restarts reads back only the reports that the log still keeps.
package acaciapoison
