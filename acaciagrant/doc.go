// Package acaciagrant schedules the reservations that wait at one agent: it decides
// which of them the agent's endpoint serves next, and when.
//
// Its state lives as long as the process.
package acaciagrant
