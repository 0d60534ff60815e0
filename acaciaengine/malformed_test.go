package acaciaengine

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaresponse"
	"github.com/acaciaroute/acaciaroute/acaciastandin"
)

// startRawServer starts a server that answers each request with a text and closes the connection. It returns its URL.
func startRawServer(t *testing.T, text string) string {
	t.Helper()
	server, err := acaciastandin.StartRawServer(t.Context(), "127.0.0.1:0", 0, func(conn *net.TCPConn) {
		if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, text)
		}
		_ = conn.Close()
	})
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return "http://" + server.Address()
}

// checkNoAnswer checks that a malformed response is an error of the call, which the endpoint may have run.
func checkNoAnswer(t *testing.T, response string) {
	t.Helper()
	url := startRawServer(t, response)
	call := acaciaroute.Call{Method: http.MethodPost, Path: "/v1/completions", Body: []byte(`{"stream":true}`)}
	for name, endpoint := range map[string]acaciaroute.Endpoint{
		"plain service": NewPlainService(url, NewClient()),
		"model engine":  NewModelEngine(url, NewClient()),
	} {
		_, err := endpoint.Start(t.Context(), call)
		var startErr *acaciaroute.StartError
		assert.Check(t, errors.As(err, &startErr) && startErr.Reached, "%s: %v", name, err)
		var headErr *acaciaresponse.HeadError
		assert.Check(t, errors.As(err, &headErr), "%s: %v", name, err)
	}
	_, err := NewModelEngine(url, NewClient()).Load(t.Context())
	var headErr *acaciaresponse.HeadError
	assert.Check(t, errors.As(err, &headErr), "load report: %v", err)
}

// A field whose name holds a blank was passed over, or became a part of the field before it: then the body wasn't framed
// as its engine had framed it.
func TestMalformedFieldNameIsNoAnswer(t *testing.T) {
	for name, response := range map[string]string{
		"length":            "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nno, and more",
		"chunks":            "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"before a name":     "HTTP/1.1 200 OK\r\nX-Shard: 1\r\n Content-Length: 2\r\n\r\nno, and more",
		"another field":     "HTTP/1.1 200 OK\r\nX Shard: 1\r\nContent-Length: 2\r\n\r\nno",
		"interim response":  "HTTP/1.1 103 Early Hints\r\nLink : x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
		"a control byte":    "HTTP/1.1 200 OK\r\nX\x01Shard: 1\r\nContent-Length: 2\r\n\r\nno",
		"a tab in the name": "HTTP/1.1 200 OK\r\nX\tShard: 1\r\nContent-Length: 2\r\n\r\nno",
	} {
		t.Run(name, func(t *testing.T) { checkNoAnswer(t, response) })
	}
}

// An engine's answer with a status code outside of the five classes of HTTP became the answer of its agent, without a
// status, which reached the caller as 200.
func TestStatusOutsideOfHTTPIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		head := "HTTP/1.1 " + status + " Unknown\r\n"
		for name, response := range map[string]string{
			"body with a length":        head + "Content-Length: 2\r\n\r\nno",
			"body that ends with it":    head + "\r\nno",
			"a response after the head": head + "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
			"after an interim response": "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "Content-Length: 2\r\n\r\nno",
		} {
			t.Run(status+", "+name, func(t *testing.T) { checkNoAnswer(t, response) })
		}
	}
}
