package acaciaengine

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/acaciaroute/acaciaroute"
)

type (
	plainService struct {
		baseURL string
		client  *http.Client
	}

	plainAnswer struct {
		response *http.Response
		buffer   []byte
	}
)

const readBufferBytes = 32 << 10

// NewPlainService returns a client of the plain HTTP service at baseURL. The HTTP
// client must not retry requests by itself.
func NewPlainService(baseURL string, client *http.Client) acaciaroute.Endpoint {
	return &plainService{baseURL: baseURL, client: client}
}

// Start implements acaciaroute.Endpoint.
func (p *plainService) Start(ctx context.Context, call acaciaroute.Call) (acaciaroute.Answer, error) {
	response, err := sendCall(ctx, p.client, p.baseURL, call)
	if err != nil {
		return nil, err
	}
	return &plainAnswer{response: response, buffer: make([]byte, readBufferBytes)}, nil
}

// Header implements acaciaroute.Answer.
func (a *plainAnswer) Header() acaciaroute.AnswerHeader {
	return acaciaroute.AnswerHeader{Status: a.response.StatusCode, Header: a.response.Header}
}

// Next implements acaciaroute.Answer.
func (a *plainAnswer) Next() (acaciaroute.AnswerPart, error) {
	n, err := a.response.Body.Read(a.buffer)
	if n > 0 {
		return acaciaroute.AnswerPart{Data: bytes.Clone(a.buffer[:n])}, nil
	}
	return acaciaroute.AnswerPart{}, err
}

// Close implements acaciaroute.Answer.
func (a *plainAnswer) Close() error {
	return a.response.Body.Close()
}

// sendCall sends a call once and returns when the head of the response has arrived. If
// that fails, the *StartError says whether the endpoint can have received any of it.
func sendCall(ctx context.Context, client *http.Client, baseURL string, call acaciaroute.Call) (*http.Response, error) {
	ctx, guard := withWriteGuard(ctx)
	request, err := http.NewRequestWithContext(ctx, call.Method, baseURL+call.Path, unreplayableReader(call.Body))
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
		return nil, &acaciaroute.StartError{Reached: guard.blockWrites(), Err: err}
	}
	return response, nil
}

// unreplayableReader returns a reader of body whose concrete type is hidden, so that the
// HTTP client cannot set up GetBody and send the request again.
func unreplayableReader(body []byte) io.Reader {
	return struct{ io.Reader }{bytes.NewReader(body)}
}
