// Package acaciabudget enforces the limits that all processes share: the quotas of
// organisations, and the budget for requests that are sent to a second endpoint.
//
// Life span: process.
package acaciabudget
