package acaciaupstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

type (
	// Call is a request to one endpoint.
	Call struct {
		Address string
		Method  string
		// Target is the path and query, exactly as the caller sent them.
		Target string
		Host   string
		Header http.Header
		Body   []byte
		// MatchesResponse reports whether a response with these headers belongs to
		// the request; reused tells whether the connection has served others before.
		MatchesResponse func(header http.Header, reused bool) bool
		// Withdrawn, if set, reports whether the request must not be sent over a connection that was
		// opened at a time. It is asked right before the request is written, because opening a new
		// connection may have taken long; reused tells whether it has served others before.
		Withdrawn func(openedAt time.Time, reused bool) bool
	}

	// Response is an endpoint's response: its status and headers, and its body as a
	// stream. It must be closed after use.
	Response struct {
		Status int
		Header http.Header
		// Length is the length of the body, -1 if it is unknown.
		Length int64

		pool             *Pool
		connection       *connection
		response         *http.Response
		writeResult      chan error
		stopContextWatch func() bool
		complete         bool
		closed           bool
	}

	// Error is the error of a failed call.
	Error struct {
		// Reached is false only if the endpoint cannot have received the request.
		Reached bool
		// Reused reports whether the connection came from the pool.
		Reused bool
		Err    error
	}
)

const (
	// maxResponsesPerCall is how many responses a call reads to find its own, which includes
	// interim (1xx) responses and responses to other requests.
	maxResponsesPerCall = 3
	// maxResponseHeaderBytes bounds the header of a response.
	maxResponseHeaderBytes = 256 << 10
	// maxDiscardedBytes is the most bytes of a response body that are read and discarded.
	maxDiscardedBytes = 1 << 20
	// maxSynchronousBodyBytes is the largest request body that is written before the response is
	// read; a larger one is written concurrently.
	maxSynchronousBodyBytes = 2048
	headerKeepAlive         = "Keep-Alive"
)

// ErrWithdrawn is the cause of an error of a call whose request was withdrawn before it was sent.
var ErrWithdrawn = errors.New("the request was withdrawn before it was sent")

var (
	errMismatchedResponses = errors.New("the responses on the connection belong to other requests")
	errBodyTooLong         = errors.New("the body to discard is too long")
)

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("call endpoint (reached %t, reused connection %t): %v", e.Reached, e.Reused, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Send sends a call exactly once and returns when the headers of the response have
// arrived. The end of ctx aborts the call at any time until Close. An error is an *Error.
func (p *Pool) Send(ctx context.Context, call Call) (*Response, error) {
	conn, err := p.get(ctx, call.Address)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if call.Withdrawn != nil && call.Withdrawn(conn.openedAt, conn.reused) {
		p.putUnused(conn)
		return nil, &Error{Err: ErrWithdrawn}
	}
	response := &Response{pool: p, connection: conn, writeResult: make(chan error, 1)}
	response.stopContextWatch = context.AfterFunc(ctx, func() { _ = conn.Close() })
	response.writeRequest(call)
	if err := response.readHeader(call); err != nil {
		response.Close()
		return nil, &Error{Reached: true, Reused: conn.reused, Err: errors.Join(err, ctx.Err())}
	}
	return response, nil
}

// Read implements io.Reader for the body; io.EOF means that the body is complete.
func (r *Response) Read(data []byte) (int, error) {
	n, err := r.response.Body.Read(data)
	if errors.Is(err, io.EOF) {
		r.complete = true
	}
	return n, err
}

// ConnectedAt returns when the connection was opened; the endpoint's process has run since then.
func (r *Response) ConnectedAt() time.Time {
	return r.connection.openedAt
}

// Unframed reports whether the body has neither a length nor chunks, so that it ends where its
// connection ends, whatever the reason.
func (r *Response) Unframed() bool {
	return r.Length < 0 && len(r.response.TransferEncoding) == 0 && r.response.Body != http.NoBody
}

// Close ends the call. If the request and the response were transferred completely and the
// endpoint keeps the connection open, it goes back to the pool; otherwise it is closed, so
// that the endpoint stops any remaining work.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	notCancelled := r.stopContextWatch()
	reusable := r.complete && notCancelled && !r.response.Close
	if reusable {
		select {
		case err := <-r.writeResult:
			reusable = err == nil
		default:
			reusable = false
		}
	}
	if !reusable {
		r.pool.discard(r.connection)
		return
	}
	r.pool.put(r.connection, keepAliveTimeout(r.Header))
}

// CloseConnection ends the call and closes its connection, so that nothing that the endpoint still
// sends there can be taken for the response to another call.
func (r *Response) CloseConnection() {
	r.complete = false
	r.Close()
}

// writeRequest writes the request. A large body is written while the response is awaited,
// because an endpoint may respond before it has read the body.
func (r *Response) writeRequest(call Call) {
	var request bytes.Buffer
	fmt.Fprintf(&request, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.Target, call.Host)
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		fmt.Fprintf(&request, "Content-Length: %d\r\n", len(call.Body))
	}
	// Writes to a buffer don't fail.
	_ = call.Header.Write(&request)
	request.WriteString("\r\n")
	// One system call writes both, without a copy of the body.
	buffers := net.Buffers{request.Bytes(), call.Body}
	endRequest := r.connection.BeginRequest()
	write := func() {
		err := r.connection.WriteBuffers(buffers)
		endRequest()
		r.writeResult <- err
	}
	if len(call.Body) <= maxSynchronousBodyBytes {
		write()
		return
	}
	go write()
}

// readHeader reads responses until one belongs to the request.
func (r *Response) readHeader(call Call) error {
	for range maxResponsesPerCall {
		r.connection.limit.N = maxResponseHeaderBytes
		if err := r.connection.expectResponse(); err != nil {
			return err
		}
		response, err := http.ReadResponse(r.connection.reader, &http.Request{Method: call.Method})
		if err != nil {
			return err
		}
		r.connection.limit.N = math.MaxInt64
		if response.StatusCode < http.StatusOK {
			continue
		}
		if call.MatchesResponse(response.Header, r.connection.reused) {
			r.response = response
			r.Status, r.Header, r.Length = response.StatusCode, response.Header, response.ContentLength
			return nil
		}
		if err := discard(response.Body); err != nil {
			return err
		}
	}
	return errMismatchedResponses
}

// keepAliveTimeout returns how long the endpoint keeps an idle connection according to its
// Keep-Alive header, zero if the header has no timeout.
func keepAliveTimeout(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get(headerKeepAlive), ",") {
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

// discard reads a body to its end; a longer one than maxDiscardedBytes is an error, because
// what follows in it is no response.
func discard(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardedBytes))
	if err == nil && n == maxDiscardedBytes {
		return errBodyTooLong
	}
	return err
}
