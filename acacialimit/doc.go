// Package acacialimit collects metrics of what the limits against hostile callers have to hold and to end.
//
// Its state lives as long as the process.
package acacialimit
