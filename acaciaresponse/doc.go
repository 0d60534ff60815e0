// Package acaciaresponse refuses HTTP/1.1 responses that net/http accepts although they are malformed or cut, on every
// connection over which the system reads responses.
//
// A Conn checks the heads of responses as their bytes are read, before net/http parses them, because the parsed form no
// longer shows all that is wrong. It also tells an end in order from a reset. A Transport is an http.RoundTripper
// over such connections; acaciaupstream uses a Conn directly.
//
// Its state lives as long as a TCP connection.
package acaciaresponse
