package acaciaupstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

type (
	// Call is a request for one endpoint.
	Call struct {
		Address string
		Method  string
		// Target is the path and query as the caller sent them.
		Target string
		Host   string
		Header http.Header
		Body   []byte
		// Matches tells whether an answer's headers belong to the request.
		Matches func(http.Header) bool
	}

	// Answer is the head of an endpoint's answer and the rest as it comes. Close must be
	// called.
	Answer struct {
		Status int
		Header http.Header
		// Length is the length of the body, -1 if it is not known.
		Length int64

		pool       *Pool
		connection *connection
		response   *http.Response
		sent       chan error
		unwatch    func() bool
		complete   bool
		closed     bool
	}

	// Error is a failed call.
	Error struct {
		// Reached is false only when the endpoint cannot have seen the request.
		Reached bool
		// Reused tells that the connection had carried requests before.
		Reused bool
		Err    error
	}
)

const (
	// maxForeign is how many answers to other requests are passed over.
	maxForeign = 3
	// maxForeignBytes bounds the body of such an answer.
	maxForeignBytes = 1 << 20
	// directBytes is how large a body may be that is sent before the answer is awaited.
	directBytes = 2048
	keepAlive   = "Keep-Alive"
)

var errForeign = errors.New("the answers on the connection belong to other requests")

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("call endpoint (reached %t, reused connection %t): %v", e.Reached, e.Reused, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Start sends a call, once, and returns when the head of the answer is there. The end of
// ctx breaks the call off at any time until Close. A failure is an *Error.
func (p *Pool) Start(ctx context.Context, call Call) (*Answer, error) {
	c, err := p.get(ctx, call.Address)
	if err != nil {
		return nil, &Error{Err: err}
	}
	answer := &Answer{pool: p, connection: c, sent: make(chan error, 1)}
	answer.unwatch = context.AfterFunc(ctx, func() { _ = c.Close() })
	answer.send(call)
	if err := answer.readHead(call); err != nil {
		answer.Close()
		return nil, &Error{Reached: true, Reused: c.reused, Err: errors.Join(err, ctx.Err())}
	}
	return answer, nil
}

// Read implements io.Reader over the body; io.EOF says that it is whole.
func (a *Answer) Read(data []byte) (int, error) {
	n, err := a.response.Body.Read(data)
	if errors.Is(err, io.EOF) {
		a.complete = true
	}
	return n, err
}

// Close ends the call; the endpoint stops its work if the answer is not whole.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	stopped := a.unwatch()
	whole := a.complete && stopped && !a.response.Close
	if whole {
		select {
		case err := <-a.sent:
			whole = err == nil
		default:
			whole = false
		}
	}
	if !whole {
		_ = a.connection.Close()
		return
	}
	a.pool.put(a.connection, idleTime(a.Header))
}

// send writes the request; a long body is written while the answer is awaited, because an
// endpoint may answer before it has read it.
func (a *Answer) send(call Call) {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.Target, call.Host)
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(call.Body))
	}
	// Writes to a buffer do not fail.
	_ = call.Header.Write(&head)
	head.WriteString("\r\n")
	head.Write(call.Body)
	write := func() {
		_, err := a.connection.Write(head.Bytes())
		a.sent <- err
	}
	if len(call.Body) <= directBytes {
		write()
		return
	}
	go write()
}

// readHead reads heads until one belongs to the request.
func (a *Answer) readHead(call Call) error {
	for range maxForeign {
		response, err := http.ReadResponse(a.connection.reader, &http.Request{Method: call.Method})
		if err != nil {
			return err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if call.Matches(response.Header) {
			a.response = response
			a.Status, a.Header, a.Length = response.StatusCode, response.Header, response.ContentLength
			return nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes)); err != nil {
			return err
		}
	}
	return errForeign
}

// idleTime returns how long an endpoint keeps an idle connection, zero if it does not say.
func idleTime(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get(keepAlive), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n > 0 {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}

// Drain reads the rest of a short body, so that the connection can be kept.
func (a *Answer) Drain() error {
	_, err := io.Copy(io.Discard, io.LimitReader(a, maxForeignBytes))
	return err
}
