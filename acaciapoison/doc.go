// Package acaciapoison recognises requests that kill the endpoints which run them,
// by their content, through the platform's log.
//
// Life span: request.
package acaciapoison
