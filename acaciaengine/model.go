package acaciaengine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/acaciaroute/acaciaroute"
)

type (
	modelEngine struct {
		baseURL string
		client  *http.Client
	}

	// streamAnswer passes on the engine's events as they arrive.
	streamAnswer struct {
		response *http.Response
		buffer   []byte
		scanner  eventScanner
	}
)

// NewModelEngine returns a client of the model engine at baseURL. It asks the engine
// for a stream of tokens even if the caller wants one JSON object, so that the agent
// can time every token.
func NewModelEngine(baseURL string, client *http.Client) acaciaroute.Engine {
	return &modelEngine{baseURL: baseURL, client: client}
}

// Start implements acaciaroute.Endpoint.
func (m *modelEngine) Start(ctx context.Context, call acaciaroute.Call) (acaciaroute.Answer, error) {
	body, wantsStream, err := enableStream(call.Body)
	if err != nil {
		return nil, &acaciaroute.StartError{Err: err}
	}
	call.Body = body
	response, err := sendCall(ctx, m.client, m.baseURL, call)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return &plainAnswer{response: response, buffer: make([]byte, readBufferBytes)}, nil
	}
	stream := &streamAnswer{response: response, buffer: make([]byte, readBufferBytes)}
	if wantsStream {
		return stream, nil
	}
	return &objectAnswer{stream: stream, isChat: strings.HasSuffix(call.Path, "/chat/completions")}, nil
}

// Load implements acaciaroute.Engine.
func (m *modelEngine) Load(ctx context.Context) (acaciaroute.LoadReport, error) {
	var report acaciaroute.LoadReport
	err := m.getJSON(ctx, "/load", &report)
	return report, err
}

// CacheEvictions implements acaciaroute.Engine.
func (m *modelEngine) CacheEvictions(ctx context.Context, after int64) ([]acaciaroute.CacheEviction, error) {
	var events []acaciaroute.CacheEviction
	err := m.getJSON(ctx, fmt.Sprintf("/cache_events?after=%d", after), &events)
	return events, err
}

// SendOrder implements acaciaroute.Engine.
func (m *modelEngine) SendOrder(ctx context.Context, order acaciaroute.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	response, err := sendCall(ctx, m.client, m.baseURL, acaciaroute.Call{Method: http.MethodPost, Path: "/orders", Body: body})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return acaciaroute.Errorf(acaciaroute.CodeOrderFenced, "the engine has already seen a higher fencing number than %d", order.Fence)
	}
	return acaciaroute.Errorf(acaciaroute.CodeEngineFailed, "the engine answered with HTTP status %d", response.StatusCode)
}

// getJSON decodes the JSON object at path into reply.
func (m *modelEngine) getJSON(ctx context.Context, path string, reply any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, m.baseURL+path, nil)
	if err != nil {
		return err
	}
	response, err := m.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return acaciaroute.Errorf(acaciaroute.CodeEngineFailed, "the engine answered with HTTP status %d", response.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(reply)
}

// maxReportBytes bounds the body of a load report or a list of cache evictions.
const maxReportBytes = 4 << 20

// Header implements acaciaroute.Answer.
func (a *streamAnswer) Header() acaciaroute.AnswerHeader {
	return acaciaroute.AnswerHeader{Status: a.response.StatusCode, Header: a.response.Header}
}

// Next implements acaciaroute.Answer. An answer that ends without the engine's
// final event is truncated, and gives io.ErrUnexpectedEOF.
func (a *streamAnswer) Next() (acaciaroute.AnswerPart, error) {
	n, err := a.response.Body.Read(a.buffer)
	if n > 0 {
		data := bytes.Clone(a.buffer[:n])
		return acaciaroute.AnswerPart{Data: data, Tokens: len(a.scanner.scan(data))}, nil
	}
	if err == io.EOF && !a.scanner.done {
		return acaciaroute.AnswerPart{}, io.ErrUnexpectedEOF
	}
	return acaciaroute.AnswerPart{}, err
}

// Close implements acaciaroute.Answer.
func (a *streamAnswer) Close() error {
	return a.response.Body.Close()
}

// enableStream turns on streaming in a request body and reports whether the
// caller had already asked for it.
func enableStream(body []byte) ([]byte, bool, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, false, err
	}
	var wantsStream bool
	if raw, ok := fields["stream"]; ok {
		if err := json.Unmarshal(raw, &wantsStream); err != nil {
			return nil, false, err
		}
	}
	if wantsStream {
		return body, true, nil
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	changed, err := json.Marshal(fields)
	return changed, false, err
}
