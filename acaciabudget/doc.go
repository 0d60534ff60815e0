// Package acaciabudget enforces the limits that all processes share: the quotas of
// organisations, and the budget for retries.
//
// Its state lives as long as the process.
package acaciabudget
