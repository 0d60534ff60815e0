// Package acaciaagent implements the agent, the process that runs beside an endpoint: it
// grants slots in the endpoint's batch, calls the endpoint and stores the answers.
//
// Its state lives as long as the process.
package acaciaagent
