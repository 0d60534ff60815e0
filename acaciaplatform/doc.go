// Package acaciaplatform meets the platform's log service and VM list over
// HTTP and JSON.
//
// Life span: process.
package acaciaplatform
