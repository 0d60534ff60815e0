package acaciaupstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// endlessBytes is what a server sends of bytes that do not end before it stops the test.
const endlessBytes = 64 << 20

// writeEndlessly writes the bytes again and again until the peer closes the connection, at most
// endlessBytes, and returns how many were written.
func writeEndlessly(conn net.Conn, data string) int {
	block := bytes.Repeat([]byte(data), 1+(64<<10)/len(data))
	written := 0
	for written < endlessBytes {
		n, err := conn.Write(block)
		written += n
		if err != nil {
			break
		}
	}
	return written
}

// An endpoint may send bytes that are no response until its peer closes the connection. The call
// must fail after a bounded number of them, and the connection must not be used again.
func TestEndlessBytesEndTheCall(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nId: r\r\n"
	for name, test := range map[string]struct{ start, repeated string }{
		"no line end":               {"", "x"},
		"status line":               {"HTTP/1.1 200 ", "x"},
		"header line":               {ok + "X: ", "x"},
		"header lines":              {ok, "X: y\r\n"},
		"header lines of its own":   {ok, "Id: r\r\n"},
		"interim responses":         {"", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
		"responses to others":       {"", responseText("other", "mismatched")},
		"body of another response":  {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x"},
		"body hiding a response":    {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", responseText("r", "forged")},
		"chunk size":                {ok + "Transfer-Encoding: chunked\r\n\r\n", "1"},
		"chunk extension":           {ok + "Transfer-Encoding: chunked\r\n\r\n5;", "x"},
		"chunk extensions":          {ok + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 2000) + "\r\ny\r\n"},
		"trailer":                   {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", "x"},
		"trailers":                  {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
		"bytes instead of a header": {"", "\x00\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			written := make(chan int, 1)
			address := startServer(t, func(conn net.Conn, number int) {
				if number > 1 {
					return
				}
				readRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, test.start)
				written <- writeEndlessly(conn, test.repeated)
			})
			p := NewPool()
			defer p.Close()
			body, err := sendRequest(t, p, address, "r")
			assert.Check(t, err != nil, "a call with %d bytes of body succeeded", len(body))
			assert.Check(t, !strings.Contains(body, "forged"))
			assert.Check(t, <-written < endlessBytes, "the call read all that was sent")
			assert.Equal(t, len(p.idle[address]), 0)
		})
	}
}

// A server sends a response, and again 0 to 2 times later: whole, in part, or only its end,
// before or after the next request has been read. No call may return another one's response.
func TestLateCopiesNeverAnswerTheNextCall(t *testing.T) {
	whole := func(text string) string { return text }
	for name, copied := range map[string]func(string) string{
		"whole":        whole,
		"twice":        func(text string) string { return text + text },
		"first half":   func(text string) string { return text[:len(text)/2] },
		"header":       func(text string) string { return text[:strings.Index(text, "\r\n\r\n")+4] },
		"body":         func(text string) string { return text[strings.Index(text, "\r\n\r\n")+4:] },
		"last byte":    func(text string) string { return text[len(text)-1:] },
		"interim":      func(string) string { return "HTTP/1.1 100 Continue\r\n\r\n" },
		"end of chunk": func(string) string { return "0\r\n\r\n" },
	} {
		for _, late := range []bool{false, true} {
			t.Run(fmt.Sprint(name, "/after the next request ", late), func(t *testing.T) {
				address := startServer(t, func(conn net.Conn, _ int) {
					reader := bufio.NewReader(conn)
					previous := ""
					for id := readRequest(reader); id != ""; id = readRequest(reader) {
						response := responseText(id, "body "+id)
						if late && previous != "" {
							_, _ = io.WriteString(conn, copied(previous))
						}
						_, _ = io.WriteString(conn, response)
						if !late {
							_, _ = io.WriteString(conn, copied(response))
						}
						previous = response
					}
				})
				p := NewPool()
				defer p.Close()
				answered := 0
				for i := range 6 {
					id := fmt.Sprint("r-", i)
					body, err := sendRequest(t, p, address, id)
					if err == nil {
						answered++
						assert.Equal(t, body, "body "+id)
					}
				}
				assert.Check(t, answered >= 3, "%d of 6 calls were answered", answered)
			})
		}
	}
}
