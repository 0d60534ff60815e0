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

func TestScannerFindsEventsHoweverTheStreamIsCut(t *testing.T) {
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

func startModel(t *testing.T, body string, handler http.HandlerFunc) (acaciaroute.Answer, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	engine := NewModel(server.URL, NewClient())
	return engine.Start(context.Background(), acaciaroute.Call{Method: http.MethodPost, Path: "/v1/completions", Body: []byte(body)})
}

func TestAnswerWithoutItsFinalEventIsCut(t *testing.T) {
	answer, err := startModel(t, `{"stream":true}`, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, "data: {}\n\n")
	})
	assert.NilError(t, err)
	piece, err := answer.Next()
	assert.NilError(t, err)
	assert.Equal(t, piece.Tokens, 1)
	_, err = answer.Next()
	assert.Check(t, errors.Is(err, io.ErrUnexpectedEOF))
}

func TestStreamIsGatheredForACallerThatWantsOneObject(t *testing.T) {
	answer, err := startModel(t, `{"stream":false}`, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		assert.Check(t, string(body) == `{"stream":true,"stream_options":{"include_usage":true}}`, string(body))
		_, _ = fmt.Fprint(w, `data: {"id":"x","choices":[{"index":1,"text":"b1 "},{"index":0,"text":"a "}]}`+"\n\n")
		_, _ = fmt.Fprint(w, `data: {"id":"x","choices":[{"index":1,"text":"b2","finish_reason":"stop"}],"usage":{"total_tokens":3}}`+"\n\n")
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	})
	assert.NilError(t, err)
	var data []byte
	for {
		piece, err := answer.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		assert.NilError(t, err)
		data = append(data, piece.Data...)
	}
	assert.Equal(t, string(data), `{"id":"x","object":"text_completion","created":0,"model":"","choices":[{"index":0,"text":"a ","finish_reason":null},{"index":1,"text":"b1 b2","finish_reason":"stop"}],"usage":{"total_tokens":3}}`)
}

// An endpoint closes a connection on which nothing comes, as while the agent is frozen
// between its dial and its first byte.
func TestConnectionClosedBeforeTheFirstByteProvesThatTheEndpointWasNotReached(t *testing.T) {
	near, far := net.Pipe()
	assert.NilError(t, far.Close())
	closed := make(chan struct{})
	client := newClient(func(context.Context, string, string) (net.Conn, error) {
		return &closeSignal{Conn: near, closed: closed}, nil
	})
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { <-closed },
	})
	_, err := NewPlain("http://endpoint", client).Start(ctx, acaciaroute.Call{Method: http.MethodPost, Path: "/", Body: []byte("x")})
	var failed *acaciaroute.StartError
	assert.Assert(t, errors.As(err, &failed))
	assert.Check(t, !failed.Reached, "%v", err)
}

// closeSignal tells when the HTTP client has given a connection up.
type closeSignal struct {
	net.Conn
	once   sync.Once
	closed chan struct{}
}

func (c *closeSignal) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func TestCallGivenUpWhileItConnectsNeverReachesTheEndpoint(t *testing.T) {
	near, far := net.Pipe()
	ctx, giveUp := context.WithCancel(context.Background())
	goOn := make(chan struct{})
	dialled := make(chan net.Conn, 1)
	dial := guarded(func(context.Context, string, string) (net.Conn, error) {
		giveUp()
		<-goOn
		return near, nil
	})
	client := newClient(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		dialled <- conn
		return conn, err
	})
	_, err := NewPlain("http://endpoint", client).Start(ctx, acaciaroute.Call{Method: http.MethodPost, Path: "/", Body: []byte("x")})
	var failed *acaciaroute.StartError
	assert.Assert(t, errors.As(err, &failed))
	assert.Check(t, !failed.Reached, "%v", err)
	close(goOn)
	_, err = (<-dialled).Write([]byte("late"))
	assert.Check(t, errors.Is(err, net.ErrClosed), "%v", err)
	assert.NilError(t, far.Close())
}

func TestOnlyARefusedConnectionProvesThatTheEndpointWasNotReached(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	endpoint := NewPlain(server.URL, NewClient())
	start := func() *acaciaroute.StartError {
		_, err := endpoint.Start(context.Background(), acaciaroute.Call{Method: http.MethodPost, Path: "/", Body: []byte("x")})
		var failed *acaciaroute.StartError
		assert.Assert(t, errors.As(err, &failed))
		return failed
	}
	assert.Check(t, start().Reached)
	server.Close()
	assert.Check(t, !start().Reached)
}
