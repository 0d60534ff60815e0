package acaciasystem

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute/acaciastandin"
)

// replaceEndpoint ends the process of a VM's endpoint and runs serve for each connection to its address.
func (c *cluster) replaceEndpoint(n *node, serve func(*net.TCPConn)) {
	c.t.Helper()
	killProcess(c.t, n.endpointProcess)
	server, err := acaciastandin.StartRawServer(c.t.Context(), n.endpointAddr, 0, serve)
	assert.NilError(c.t, err)
	c.t.Cleanup(server.Close)
}

// checkEngineAnswerIsRefused checks that the answer of an agent's engine reaches no caller, who gets an error that doesn't
// say that the request has not run.
func checkEngineAnswerIsRefused(t *testing.T, answer string) {
	t.Helper()
	c := newCluster(t, 1, 0, 1)
	c.replaceEndpoint(c.plainNodes[0], func(conn *net.TCPConn) {
		if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, answer)
		}
		_ = conn.Close()
	})
	got := c.sendUntilDispatched(c.entries[0], http.MethodPost, "/services/archiv/file", "drawing")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusBadGateway, got.body)
}

// An engine's answer in chunks reached the caller with the sizes of its chunks as a part of the body.
func TestMalformedFieldNameOfAnEngineIsNoAnswer(t *testing.T) {
	t.Parallel()
	checkEngineAnswerIsRefused(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n")
}

// An engine's answer with status 000 reached the caller as 200.
func TestStatusOutsideOfHTTPOfAnEngineIsNoAnswer(t *testing.T) {
	t.Parallel()
	checkEngineAnswerIsRefused(t, "HTTP/1.1 000 Unknown\r\nContent-Length: 6\r\n\r\nbroken")
}
