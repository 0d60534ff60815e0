// Package acaciagrant schedules the reservations that wait at one agent: it decides
// which of them the agent's endpoint serves next, and when.
//
// Life span: process.
package acaciagrant
