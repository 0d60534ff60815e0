package acaciaengine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acaciaroute/acaciaroute"
)

func TestEventScannerHandlesAnySplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const stream = "data: {\"a\":1}\n\n: comment\r\ndata:{\"b\":2}\r\n\r\ndata: [DONE]\n\n"
		var scanner eventScanner
		var events []string
		for rest := stream; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "length")
			for _, event := range scanner.scan([]byte(rest[:n])) {
				events = append(events, string(event))
			}
			rest = rest[n:]
		}
		assert.DeepEqual(t, events, []string{`{"a":1}`, `{"b":2}`})
		assert.Check(t, scanner.done)
	})
}

func startModelCall(t *testing.T, body string, handler http.HandlerFunc) (acaciaroute.Answer, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	engine := NewModelEngine(server.URL, NewClient())
	return engine.Start(context.Background(), acaciaroute.Call{Method: http.MethodPost, Path: "/v1/completions", Body: []byte(body)})
}

func TestStreamWithoutFinalEventEndsInUnexpectedEOF(t *testing.T) {
	answer, err := startModelCall(t, `{"stream":true}`, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, "data: {}\n\n")
	})
	assert.NilError(t, err)
	part, err := answer.Next()
	assert.NilError(t, err)
	assert.Equal(t, part.Tokens, 1)
	_, err = answer.Next()
	assert.Check(t, errors.Is(err, io.ErrUnexpectedEOF))
}

func TestStreamIsMergedForNonStreamingCaller(t *testing.T) {
	answer, err := startModelCall(t, `{"stream":false}`, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		assert.Check(t, string(body) == `{"stream":true,"stream_options":{"include_usage":true}}`, string(body))
		_, _ = fmt.Fprint(w, `data: {"id":"x","choices":[{"index":1,"text":"b1 "},{"index":0,"text":"a "}]}`+"\n\n")
		_, _ = fmt.Fprint(w, `data: {"id":"x","choices":[{"index":1,"text":"b2","finish_reason":"stop"}],"usage":{"total_tokens":3}}`+"\n\n")
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	})
	assert.NilError(t, err)
	var data []byte
	for {
		part, err := answer.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		assert.NilError(t, err)
		data = append(data, part.Data...)
	}
	assert.Equal(t, string(data), `{"id":"x","object":"text_completion","created":0,"model":"","choices":[{"index":0,"text":"a ","finish_reason":null},{"index":1,"text":"b1 b2","finish_reason":"stop"}],"usage":{"total_tokens":3}}`)
}

// An endpoint may close a connection before the agent has written to it, for instance when
// the agent is suspended between dialling and its first byte. Such a call counts as not
// reached and may run elsewhere.
func TestConnectionClosedBeforeFirstWriteIsNotReached(t *testing.T) {
	clientEnd, serverEnd := net.Pipe()
	assert.NilError(t, serverEnd.Close())
	closed := make(chan struct{})
	client := newClient(func(context.Context, string, string) (net.Conn, error) {
		return &closeNotifyConn{Conn: clientEnd, closed: closed}, nil
	})
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { <-closed },
	})
	_, err := NewPlainService("http://endpoint", client).Start(ctx, acaciaroute.Call{Method: http.MethodPost, Path: "/", Body: []byte("x")})
	var startErr *acaciaroute.StartError
	assert.Assert(t, errors.As(err, &startErr))
	assert.Check(t, !startErr.Reached, "%v", err)
}

// closeNotifyConn closes a channel when the HTTP client closes the connection.
type closeNotifyConn struct {
	net.Conn
	once   sync.Once
	closed chan struct{}
}

func (c *closeNotifyConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// When a call is cancelled while its connection is dialled, the dial may still succeed. The
// call is reported as not reached, so a late write on that connection must fail.
func TestCallCancelledDuringDialIsNotReached(t *testing.T) {
	clientEnd, serverEnd := net.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	finishDial := make(chan struct{})
	dialled := make(chan net.Conn, 1)
	dial := guardDial(func(context.Context, string, string) (net.Conn, error) {
		cancel()
		<-finishDial
		return clientEnd, nil
	})
	client := newClient(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		dialled <- conn
		return conn, err
	})
	_, err := NewPlainService("http://endpoint", client).Start(ctx, acaciaroute.Call{Method: http.MethodPost, Path: "/", Body: []byte("x")})
	var startErr *acaciaroute.StartError
	assert.Assert(t, errors.As(err, &startErr))
	assert.Check(t, !startErr.Reached, "%v", err)
	close(finishDial)
	_, err = (<-dialled).Write([]byte("late"))
	assert.Check(t, errors.Is(err, net.ErrClosed), "%v", err)
	assert.NilError(t, serverEnd.Close())
}

func TestOnlyRefusedConnectionIsNotReached(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	endpoint := NewPlainService(server.URL, NewClient())
	start := func() *acaciaroute.StartError {
		_, err := endpoint.Start(context.Background(), acaciaroute.Call{Method: http.MethodPost, Path: "/", Body: []byte("x")})
		var startErr *acaciaroute.StartError
		assert.Assert(t, errors.As(err, &startErr))
		return startErr
	}
	assert.Check(t, start().Reached)
	server.Close()
	assert.Check(t, !start().Reached)
}
