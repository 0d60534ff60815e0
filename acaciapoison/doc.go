// Package acaciapoison identifies requests that crash the endpoints that run them.
// Requests are recognised by their content, and processes share their reports
// through the platform's log.
//
// Its state lives as long as the request.
package acaciapoison
