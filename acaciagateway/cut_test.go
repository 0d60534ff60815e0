package acaciagateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
	acaciaplatformstandin "github.com/acaciaroute/acaciaroute/platform/standin"
)

type (
	// cutEndpoints are two endpoints of which the one that gets the first request cuts its answer. Further requests get
	// whole answers.
	cutEndpoints struct {
		part string
		end  func(*net.TCPConn)
		// dies reports whether the endpoint that cuts its answer accepts no connections after that.
		dies bool
		runs atomic.Int64
	}

	// cutRoute is a kind of route.
	cutRoute struct {
		path string
		// resumable is the configuration's value for streams.
		resumable string
		// runs is how often a request runs if its first answer is cut.
		runs int64
	}
)

const (
	cutComment = ": comment\n\n"
	cutBody    = "id: 1\ndata: x1\n\nid: 12\ndata: x12\n\n"
	cutHead    = "HTTP/1.1 200 OK\r\n" + acaciaplatformstandin.HeaderRequestID + ": r-1\r\n" + acaciaplatformstandin.HeaderSignature + ": seal\r\n"
	// cutLength and cutChunked are the heads of answers with cutBody.
	cutLength  = cutHead + "Content-Length: 34\r\n\r\n"
	cutChunked = cutHead + "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n"
)

var cutRoutes = map[string]cutRoute{
	"non-idempotent":   {"/unsafe/", "true", 1},
	"idempotent":       {"/safe/", "true", 2},
	"stream":           {"/stream/", "false", 1},
	"resumable stream": {"/stream/", "true", 2},
}

// cuts are the places at which an answer can end.
var cuts = map[string]string{
	"in the status line":                         "HTTP/1.1 20",
	"after the status line":                      "HTTP/1.1 200 OK\r\n",
	"in a header's name":                         cutHead + "Content-Le",
	"in a header's value":                        cutHead + "Content-Length: 3",
	"in the seal":                                strings.TrimSuffix(cutHead, "al\r\n"),
	"before the empty line of the head":          cutHead + "Content-Length: 34\r\n",
	"after the head, length":                     cutLength,
	"after the head, chunks":                     cutChunked,
	"body with a length, in an event's ID":       cutLength + cutBody[:21],
	"body with a length, in an event's data":     cutLength + cutBody[:30],
	"body with a length, after an event":         cutLength + cutBody[:16],
	"body with a length, before a blank line":    cutLength + cutBody[:33],
	"in a chunk's size":                          cutChunked + "10\r\n" + cutBody[:16] + "\r\n1",
	"after a chunk's size":                       cutChunked + "10\r\n" + cutBody[:16] + "\r\n12\r\n",
	"in a chunk's data, in an event's ID":        cutChunked + "22\r\n" + cutBody[:21],
	"in a chunk's data, before a blank line":     cutChunked + "22\r\n" + cutBody[:33],
	"after a chunk's data":                       cutChunked + "22\r\n" + cutBody,
	"before the last chunk":                      cutChunked + "22\r\n" + cutBody + "\r\n",
	"before the trailer":                         cutChunked + "22\r\n" + cutBody + "\r\n0\r\n",
	"in the trailer":                             cutChunked + "22\r\n" + cutBody + "\r\n0\r\nX-End: 1",
	"before the empty line after the trailer":    cutChunked + "22\r\n" + cutBody + "\r\n0\r\nX-End: 1\r\n",
	"after the head, neither":                    cutHead + "\r\n",
	"body with neither, in an event's ID":        cutHead + "\r\n" + cutBody[:21],
	"body with neither, in an event's data":      cutHead + "\r\n" + cutBody[:30],
	"body with neither, before a blank line":     cutHead + "\r\n" + cutBody[:33],
	"body with neither, after an event":          cutHead + "\r\n" + cutBody[:16],
	"body with neither, before the first event":  cutHead + "\r\n" + cutComment,
	"body with neither, in the field of an ID":   cutHead + "\r\n" + cutBody[:17],
	"body with neither, after the field of data": cutHead + "\r\n" + cutBody[:28],
}

func startCutEndpoints(t *testing.T, b *testbed, part string, end func(*net.TCPConn), dies bool) *cutEndpoints {
	t.Helper()
	e := &cutEndpoints{part: part, end: end, dies: dies}
	for i := range 2 {
		listener, err := net.Listen("tcp", anyPort)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go e.serve(listener, conn)
			}
		}()
		registerEndpoint(t, b.store, fmt.Sprint("i-", i), listener.Addr().String(), false)
	}
	waitFor(t, func() bool { return len(b.gateway.endpointIDs()) == 2 })
	return e
}

// serve answers the requests of a connection.
func (e *cutEndpoints) serve(listener net.Listener, conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			_ = conn.Close()
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		switch {
		case request.URL.Path == acaciaplatform.ReportTarget:
			_, _ = io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		case e.runs.Add(1) == 1:
			if e.dies {
				_ = listener.Close()
			}
			_, _ = io.WriteString(conn, e.part)
			e.end(conn.(*net.TCPConn))
			return
		default:
			body := cutBody
			if request.Header.Get("Last-Event-Id") == "1" {
				body = cutBody[16:]
			} else if request.Header.Get("Last-Event-Id") == "12" {
				body = ""
			}
			_, _ = io.WriteString(conn, cutHead+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
		}
	}
}

// An answer ends at any place, by a close, a half-close or a reset. A part of it must never reach the caller as complete,
// a request that has run must not be refused as one that has not, and only a request that may run again does. A stream
// goes on at another endpoint so that its caller gets each event once, or its connection is broken.
func TestAnswerCutAtAnyPlaceIsNeverComplete(t *testing.T) {
	for cut, part := range cuts {
		for endName, end := range connectionEnds {
			for name, route := range cutRoutes {
				neither := strings.Contains(cut, "neither")
				// A stream that ends inside an event is never whole, also if its endpoint lives on.
				insideEvent := neither && route.path == "/stream/" && !strings.HasSuffix(part, "\n\n") && !strings.HasSuffix(part, "\r\n")
				t.Run(cut+"/"+endName+"/"+name, func(t *testing.T) {
					t.Parallel()
					b := newTestbed(t)
					b.changeStreamRoute(`"streamResume":true`, `"streamResume":`+route.resumable)
					// Without a length or chunks, an answer that a living endpoint has ended is whole.
					e := startCutEndpoints(t, b, part, end, neither && !insideEvent)
					r := b.send(http.MethodPost, route.path, "r-1", "x")
					body := strings.TrimPrefix(r.body, cutComment)
					assert.Check(t, strings.HasPrefix(cutBody, body) || r.status != http.StatusOK, "status %d, body %q", r.status, r.body)
					assert.Equal(t, e.runs.Load(), route.runs)
					if route.runs > 1 {
						assert.NilError(t, r.err)
						assert.Equal(t, r.status, http.StatusOK, r.body)
						assert.Equal(t, body, cutBody)
						return
					}
					if r.err == nil {
						assert.Equal(t, r.status, http.StatusBadGateway, r.body)
						assert.Equal(t, r.header.Get(acaciaplatformstandin.HeaderSignature), "")
					}
					passedOn := route.path == "/stream/" && (strings.Contains(part, cutBody[:16]) || strings.Contains(part, cutComment))
					// What comes right before a reset may get lost.
					if !passedOn || endName != "reset" {
						assert.Equal(t, r.err != nil, passedOn, "error %v", r.err)
					}
				})
			}
		}
	}
}
