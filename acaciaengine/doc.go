// Package acaciaengine calls endpoints: model engines with a completions API that
// streams server-sent events, and plain HTTP services.
//
// Its state lives as long as the call and its connection.
package acaciaengine
