// Package acaciaagent is the process beside an endpoint: it grants places in the
// endpoint's batch, calls the endpoint and keeps the answers.
//
// Life span: process.
package acaciaagent
