package acaciaengine

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/acaciaroute/acaciaroute"
)

type (
	plain struct {
		base   string
		client *http.Client
	}

	plainAnswer struct {
		response *http.Response
		buffer   []byte
	}
)

const pieceBytes = 32 << 10

// NewPlain returns the endpoint of a plain service at a base URL. The client
// must not send a request twice by itself.
func NewPlain(base string, client *http.Client) acaciaroute.Endpoint {
	return &plain{base: base, client: client}
}

// Start implements acaciaroute.Endpoint.
func (p *plain) Start(ctx context.Context, call acaciaroute.Call) (acaciaroute.Answer, error) {
	response, err := send(ctx, p.client, p.base, call)
	if err != nil {
		return nil, err
	}
	return &plainAnswer{response: response, buffer: make([]byte, pieceBytes)}, nil
}

// Header implements acaciaroute.Answer.
func (a *plainAnswer) Header() acaciaroute.AnswerHeader {
	return acaciaroute.AnswerHeader{Status: a.response.StatusCode, Header: a.response.Header}
}

// Next implements acaciaroute.Answer.
func (a *plainAnswer) Next() (acaciaroute.Piece, error) {
	n, err := a.response.Body.Read(a.buffer)
	if n > 0 {
		return acaciaroute.Piece{Data: bytes.Clone(a.buffer[:n])}, nil
	}
	return acaciaroute.Piece{}, err
}

// Close implements acaciaroute.Answer.
func (a *plainAnswer) Close() error {
	return a.response.Body.Close()
}

// send sends a call once.
func send(ctx context.Context, client *http.Client, base string, call acaciaroute.Call) (*http.Response, error) {
	ctx, guard := withGuard(ctx)
	request, err := http.NewRequestWithContext(ctx, call.Method, base+call.Path, onceReader(call.Body))
	if err != nil {
		return nil, &acaciaroute.StartError{Err: err}
	}
	request.ContentLength = int64(len(call.Body))
	if call.Header != nil {
		request.Header = call.Header.Clone()
	}
	request.Header.Set("X-Request-Id", call.RequestID)
	response, err := client.Do(request)
	if err != nil {
		return nil, &acaciaroute.StartError{Reached: guard.seal(), Err: err}
	}
	return response, nil
}

// onceReader hides the body's type, so that the HTTP client has no copy from
// which it could send the request again.
func onceReader(body []byte) io.Reader {
	return struct{ io.Reader }{bytes.NewReader(body)}
}
