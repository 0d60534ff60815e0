package acaciagateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute/acaciastandin"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
	acaciaplatformstandin "github.com/acaciaroute/acaciaroute/platform/standin"
)

type (
	// malformedEndpoints are endpoints of which one, once, answers a request with a malformed response. All other
	// requests get whole answers.
	malformedEndpoints struct {
		// response is the malformed response; idPlace stands for the ID of the request.
		response string
		// keptConnection reports whether the malformed response is to come over a connection that has served a
		// request before.
		keptConnection bool
		sent           atomic.Bool
	}

	// malformedRoute is a kind of route.
	malformedRoute struct {
		path string
		// repeats reports whether another endpoint gets the request after the malformed response.
		repeats bool
	}
)

const (
	idPlace = "REQUEST-ID"
	// sealedFields are fields of a head with which a response passes for the endpoint's answer.
	sealedFields   = acaciaplatformstandin.HeaderRequestID + ": " + idPlace + "\r\n" + acaciaplatformstandin.HeaderSignature + ": seal\r\n"
	wholeBody      = "id: 1\ndata: whole\n\n"
	brokenBody     = "id: 1\ndata: broken\n\n"
	wholeResponse  = "HTTP/1.1 200 OK\r\n" + sealedFields + "Content-Length: 19\r\n\r\n" + wholeBody
	brokenResponse = "HTTP/1.1 200 OK\r\n" + sealedFields + "Content-Length: 20\r\n\r\n" + brokenBody
	brokenChunks   = "14\r\n" + brokenBody + "\r\n0\r\n\r\n"
	// maxKeptAttempts bounds the requests after which a connection has been used twice.
	maxKeptAttempts = 20
)

var malformedRoutes = map[string]malformedRoute{
	"non-idempotent": {"/unsafe/", false},
	"idempotent":     {"/safe/", true},
	"stream":         {"/stream/", true},
}

// startRawEndpoint starts a server that runs serve for each connection, of whose data it takes little before serve reads it
// if receiveBytes isn't zero. It returns its address.
func startRawEndpoint(t *testing.T, receiveBytes int, serve func(*net.TCPConn)) string {
	t.Helper()
	server, err := acaciastandin.StartRawServer(t.Context(), anyPort, receiveBytes, serve)
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return server.Address()
}

// serve answers the requests of a connection.
func (e *malformedEndpoints) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for served := 0; ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		response := wholeResponse
		switch {
		case request.URL.Path == acaciaplatform.ReportTarget:
			response = reportHead + "Content-Length: 13\r\n\r\n{\"running\":1}"
		case e.keptConnection == (served > 0) && !e.sent.Swap(true):
			response = e.response
			served++
		default:
			served++
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(response, idPlace, request.Header.Get(acaciaplatformstandin.HeaderRequestID)))
		if response == e.response {
			return
		}
	}
}

// checkMalformedIsRefused checks that no caller gets a malformed response: one whose request may be repeated gets the whole
// answer of another endpoint, others an error.
func checkMalformedIsRefused(t *testing.T, response string, keptConnection bool, route malformedRoute) {
	t.Helper()
	b := newTestbed(t)
	e := &malformedEndpoints{response: response, keptConnection: keptConnection}
	for i := range 2 {
		registerEndpoint(t, b.store, fmt.Sprint("i-", i), startRawEndpoint(t, 0, e.serve), false)
	}
	waitFor(t, func() bool { return len(b.gateway.endpointIDs()) == 2 })
	var r testResponse
	for i := 0; i < maxKeptAttempts && !e.sent.Load(); i++ {
		r = b.send(http.MethodPost, route.path, fmt.Sprint("r-", i), "x")
	}
	assert.Check(t, e.sent.Load(), "no endpoint has sent the malformed response")
	if route.repeats {
		assert.NilError(t, r.err)
		assert.Equal(t, r.status, http.StatusOK, r.body)
		assert.Equal(t, r.body, wholeBody)
		return
	}
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusBadGateway, r.body)
	assert.Check(t, !strings.Contains(r.body, "broken"), r.body)
	assert.Equal(t, r.header.Get(acaciaplatformstandin.HeaderSignature), "")
}

// checkAllRoutes checks a malformed response for requests of all routes, over new and kept connections.
func checkAllRoutes(t *testing.T, name, response string) {
	t.Helper()
	for routeName, route := range malformedRoutes {
		for connection, kept := range map[string]bool{"new connection": false, "kept connection": true} {
			t.Run(name+"/"+connection+"/"+routeName, func(t *testing.T) {
				t.Parallel()
				checkMalformedIsRefused(t, response, kept, route)
			})
		}
	}
}

// checkReportsAreNoProof checks that callers don't get answers without framing as whole whose endpoint sends a report.
func checkReportsAreNoProof(t *testing.T, reports map[string]string) {
	t.Helper()
	for name, report := range reports {
		for _, path := range []string{"/unsafe/", "/safe/", "/stream/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				b := newTestbed(t)
				startUnframedEndpoint(t, b, newUnframedID(), brokenBody, connectionEnds["close"], answerWith(report))
				r := b.send(http.MethodPost, path, "r-1", "x")
				assert.Check(t, r.err != nil || r.status >= http.StatusBadGateway, "status %d, body %q", r.status, r.body)
			})
		}
	}
}

// checkConfigurationsAreRefused checks that the gateway applies no configuration that comes with one of several heads.
func checkConfigurationsAreRefused(t *testing.T, heads ...string) {
	t.Helper()
	b := newTestbed(t)
	waitFor(t, func() bool { return b.gateway.configuration.Load() != nil })
	before := b.gateway.configuration.Load().Version
	text := string(acaciaplatformstandin.Configuration(int(before)+1, 3000, 0))
	fetch := func(head string) error {
		answer := answerWith(head + text)
		address := startRawEndpoint(t, 0, func(conn *net.TCPConn) { answer(conn) })
		return b.gateway.fetchConfiguration(context.Background(), address)
	}
	for _, head := range heads {
		assert.Check(t, fetch(head) != nil, head)
	}
	assert.Equal(t, b.gateway.configuration.Load().Version, before)
	assert.NilError(t, fetch("HTTP/1.1 200 OK\r\n\r\n"))
	assert.Equal(t, b.gateway.configuration.Load().Version, before+1)
}

// A status code outside of the five classes of HTTP was taken for that of an interim response, or passed on. Callers
// got what followed the head as the answer.
func TestStatusOutsideOfHTTPIsNoAnswer(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		head := "HTTP/1.1 " + status + " Unknown\r\n" + sealedFields
		for name, response := range map[string]string{
			"no body":                     head + "Content-Length: 0\r\n\r\n",
			"body with a length":          head + "Content-Length: 20\r\n\r\n" + brokenBody,
			"body in chunks":              head + "Transfer-Encoding: chunked\r\n\r\n" + brokenChunks,
			"body that ends with it":      head + "\r\n" + brokenBody,
			"a response after the head":   head + "\r\n" + brokenResponse,
			"a response after no fields":  "HTTP/1.1 " + status + "\r\n\r\n" + brokenResponse,
			"a response after no body":    head + "Content-Length: 0\r\n\r\n" + brokenResponse,
			"a response in the body":      head + "Content-Length: 1000\r\n\r\n" + brokenResponse,
			"after an interim response":   interim + head + "Content-Length: 20\r\n\r\n" + brokenBody,
			"between interim and another": interim + head + "\r\n" + brokenResponse,
		} {
			checkAllRoutes(t, status+", "+name, response)
		}
	}
}

// An endpoint whose report has such a status gives no proof that an answer without framing is whole.
func TestStatusOutsideOfHTTPIsNoReport(t *testing.T) {
	checkReportsAreNoProof(t, map[string]string{
		"alone":           "HTTP/1.1 000 Unknown\r\nContent-Length: 13\r\n\r\n{\"running\":1}",
		"before a report": "HTTP/1.1 000 Unknown\r\n\r\n" + reportHead + "Content-Length: 13\r\n\r\n{\"running\":1}",
		"too high":        "HTTP/1.1 600 Unknown\r\nContent-Length: 13\r\n\r\n{\"running\":1}",
	})
}

// A configuration that comes with such a status is not the peer's.
func TestStatusOutsideOfHTTPIsNoConfiguration(t *testing.T) {
	checkConfigurationsAreRefused(t, "HTTP/1.1 000 Unknown\r\n\r\n", "HTTP/1.1 600 Unknown\r\n\r\n")
}

// A field whose name held a blank was passed over, or became a part of the field before it. Its line was passed on so, or
// the body wasn't framed as the endpoint had framed it.
func TestMalformedFieldNameIsNoAnswer(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n" + sealedFields
	fields := map[string]struct{ name, rest, body string }{
		"length":        {"Content-Length", ": 20\r\n", brokenBody},
		"chunks":        {"Transfer-Encoding", ": chunked\r\n", brokenChunks},
		"another field": {"X-Shard", ": 3\r\nContent-Length: 20\r\n", brokenBody},
	}
	for byteName, malformed := range map[string]string{"blank": " ", "tab": "\t", "NUL": "\x00", "VT": "\x0b", "LF": "\n", "CR": "\r", "DEL": "\x7f"} {
		for fieldName, field := range fields {
			for place, name := range map[string]string{
				"before": malformed + field.name, "within": field.name[:3] + malformed + field.name[3:], "after": field.name + malformed,
			} {
				line := name + field.rest
				checkAllRoutes(t, byteName+" "+place+" "+fieldName, ok+line+"\r\n"+field.body)
			}
		}
		interim := "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\nX" + malformed + "Shard: 3\r\n\r\n"
		checkAllRoutes(t, byteName+" in an interim response", interim+brokenResponse)
		checkAllRoutes(t, byteName+" after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\n"+ok+"X"+malformed+": 3\r\nContent-Length: 20\r\n\r\n"+brokenBody)
	}
}

// An endpoint whose report names another process in such a field, or has any, gives no proof that an answer without
// framing is whole.
func TestMalformedFieldNameIsNoReport(t *testing.T) {
	checkReportsAreNoProof(t, map[string]string{
		"another process": "HTTP/1.1 421 Misdirected Request\r\nReplica-Id : i-9\r\nContent-Length: 0\r\n\r\n",
		"folded":          "HTTP/1.1 421 Misdirected Request\r\nX-Shard: 3\r\n Replica-Id: i-9\r\nContent-Length: 0\r\n\r\n",
		"another field":   reportHead + "X Shard: 3\r\nContent-Length: 13\r\n\r\n{\"running\":1}",
	})
}

// A configuration that comes with such a field is not the peer's.
func TestMalformedFieldNameIsNoConfiguration(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	checkConfigurationsAreRefused(t, ok+"Content-Length : 1\r\n\r\n", ok+"X Shard: 3\r\n\r\n", ok+"X-Shard: 3\r\n X-Shard: 4\r\n\r\n")
}
