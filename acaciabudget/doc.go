// Package acaciabudget enforces the limits that all processes share: the quotas of
// organisations, and the budget for requests that are sent to a second endpoint.
//
// Its state lives as long as the process.
package acaciabudget
