package acaciagateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
	acaciaplatformstandin "github.com/acaciaroute/acaciaroute/platform/standin"
)

// uploadEndpoints are endpoints that answer before they have read an upload. One answer for each caller's request, the first,
// is written as given and ended; others are whole.
type uploadEndpoints struct {
	response string
	end      func(*net.TCPConn)
	runs     atomic.Int64
}

const (
	// uploadBytes is more than the buffers of a connection hold whose receiver has a buffer of uploadReceiveBytes, so
	// that the upload is being written when its endpoint ends the connection.
	uploadBytes        = 8 << 20
	uploadReceiveBytes = 4 << 10
	uploadCount        = 6
	uploadPart         = "id: 1\ndata: x1\n\n"
	uploadRest         = "id: 2\ndata: x2\n\n"
	uploadHead         = "HTTP/1.1 200 OK\r\n" + sealedFields
	uploadUnframed     = uploadHead + "\r\n" + uploadPart
)

// startUploadEndpoints starts a gateway that accepts uploads, and two such endpoints.
func startUploadEndpoints(t *testing.T, response, resumable string, end func(*net.TCPConn)) (*testbed, *uploadEndpoints) {
	t.Helper()
	b := newTestbed(t)
	text := strings.Replace(string(acaciaplatformstandin.Configuration(2, 30000, 0)), `"maxBodyBytes":100000`, fmt.Sprintf(`"maxBodyBytes":%d`, uploadBytes), 1)
	b.store.PutConfiguration([]byte(strings.Replace(text, `"streamResume":true`, `"streamResume":`+resumable, 1)))
	waitFor(t, func() bool { return b.gateway.configurationVersion() == 2 })
	e := &uploadEndpoints{response: response, end: end}
	for i := range 2 {
		registerEndpoint(t, b.store, fmt.Sprint("i-", i), startRawEndpoint(t, uploadReceiveBytes, e.serve), false)
	}
	waitFor(t, func() bool { return len(b.gateway.endpointIDs()) == 2 })
	return b, e
}

// serve answers the first request of a connection when it has read its head.
func (e *uploadEndpoints) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReaderSize(conn, uploadReceiveBytes)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if request.URL.Path == acaciaplatform.ReportTarget {
		_, _ = io.WriteString(conn, reportHead+"Content-Length: 13\r\n\r\n{\"running\":1}")
		return
	}
	write := func(response string) {
		_, _ = io.WriteString(conn, strings.ReplaceAll(response, idPlace, request.Header.Get(acaciaplatformstandin.HeaderRequestID)))
	}
	if e.runs.Add(1) == 1 {
		write(e.response)
		e.end(conn)
		return
	}
	body := uploadPart + uploadRest
	if request.Header.Get("Last-Event-Id") == "1" {
		body = uploadRest
	}
	write(uploadHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body)
	_, _ = io.Copy(io.Discard, reader)
}

// A reset while an upload was being written was reported to the write alone, so that the answer, which had neither a length
// nor chunks, seemed to have been ended in order by an endpoint that lived on. Its caller got a part as the whole answer.
func TestResetDuringUploadIsNoEndOfAnAnswer(t *testing.T) {
	// An endpoint that closes a connection with unread data, or to which data comes after that, resets it, too.
	for endName, end := range connectionEnds {
		for name, route := range cutRoutes {
			t.Run(endName+"/"+name, func(t *testing.T) {
				t.Parallel()
				b, e := startUploadEndpoints(t, uploadUnframed, route.resumable, end)
				for i := range uploadCount {
					e.runs.Store(0)
					r := b.send(http.MethodPost, route.path, fmt.Sprint("r-", i), strings.Repeat("x", uploadBytes))
					assert.Equal(t, e.runs.Load(), route.runs)
					if route.runs > 1 {
						assert.NilError(t, r.err)
						assert.Equal(t, r.status, http.StatusOK, r.body)
						assert.Equal(t, r.body, uploadPart+uploadRest)
						continue
					}
					assert.Check(t, r.err != nil || r.status == http.StatusBadGateway, "status %d, length %q, body %q", r.status, r.header.Get("Content-Length"), r.body)
				}
			})
		}
	}
}

// An endpoint may answer before it has read an upload, and end its side of the connection in order. Its answer is whole,
// if it reads the rest of the upload after that, and so is one that is reset behind its length.
func TestEarlyAnswerToUploadIsWhole(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		end      func(*net.TCPConn)
	}{
		"reads the rest": {uploadUnframed, func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}},
		"reset behind its length": {uploadHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(uploadPart)) + uploadPart, connectionEnds["reset"]},
	} {
		for _, path := range []string{"/unsafe/", "/safe/", "/stream/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				b, e := startUploadEndpoints(t, test.response, "true", test.end)
				r := b.send(http.MethodPost, path, "r-1", strings.Repeat("x", uploadBytes))
				assert.NilError(t, r.err)
				assert.Equal(t, r.status, http.StatusOK, r.body)
				assert.Equal(t, r.body, uploadPart)
				assert.Equal(t, e.runs.Load(), int64(1))
			})
		}
	}
}
