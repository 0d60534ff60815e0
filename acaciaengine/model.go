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
	model struct {
		base   string
		client *http.Client
	}

	// streamAnswer relays the engine's events as they come.
	streamAnswer struct {
		response *http.Response
		buffer   []byte
		scanner  eventScanner
	}
)

// NewModel returns the engine at a base URL. It asks the engine for a stream of
// tokens even when the caller wants one JSON object, so that the agent sees the
// time of every token.
func NewModel(base string, client *http.Client) acaciaroute.Engine {
	return &model{base: base, client: client}
}

// Start implements acaciaroute.Endpoint.
func (m *model) Start(ctx context.Context, call acaciaroute.Call) (acaciaroute.Answer, error) {
	body, streamed, err := forceStream(call.Body)
	if err != nil {
		return nil, &acaciaroute.StartError{Err: err}
	}
	call.Body = body
	response, err := send(ctx, m.client, m.base, call)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return &plainAnswer{response: response, buffer: make([]byte, pieceBytes)}, nil
	}
	stream := &streamAnswer{response: response, buffer: make([]byte, pieceBytes)}
	if streamed {
		return stream, nil
	}
	return &wholeAnswer{stream: stream, chat: strings.HasSuffix(call.Path, "/chat/completions")}, nil
}

// Load implements acaciaroute.Engine.
func (m *model) Load(ctx context.Context) (acaciaroute.LoadReport, error) {
	var report acaciaroute.LoadReport
	err := m.get(ctx, "/load", &report)
	return report, err
}

// CacheEvents implements acaciaroute.Engine.
func (m *model) CacheEvents(ctx context.Context, after int64) ([]acaciaroute.CacheEvent, error) {
	var events []acaciaroute.CacheEvent
	err := m.get(ctx, fmt.Sprintf("/cache_events?after=%d", after), &events)
	return events, err
}

// Do implements acaciaroute.Engine.
func (m *model) Do(ctx context.Context, order acaciaroute.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	response, err := send(ctx, m.client, m.base, acaciaroute.Call{Method: http.MethodPost, Path: "/orders", Body: body})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return acaciaroute.Errorf(acaciaroute.CodeOrderFenced, "the engine has seen a higher fencing number than %d", order.Fence)
	}
	return acaciaroute.Errorf(acaciaroute.CodeEngineFailed, "the engine answered %d", response.StatusCode)
}

func (m *model) get(ctx context.Context, path string, reply any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, m.base+path, nil)
	if err != nil {
		return err
	}
	response, err := m.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return acaciaroute.Errorf(acaciaroute.CodeEngineFailed, "the engine answered %d", response.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxReport)).Decode(reply)
}

const maxReport = 4 << 20

// Header implements acaciaroute.Answer.
func (a *streamAnswer) Header() acaciaroute.AnswerHeader {
	return acaciaroute.AnswerHeader{Status: a.response.StatusCode, Header: a.response.Header}
}

// Next implements acaciaroute.Answer. An answer that ends without the engine's
// final event is cut.
func (a *streamAnswer) Next() (acaciaroute.Piece, error) {
	n, err := a.response.Body.Read(a.buffer)
	if n > 0 {
		data := bytes.Clone(a.buffer[:n])
		return acaciaroute.Piece{Data: data, Tokens: len(a.scanner.scan(data))}, nil
	}
	if err == io.EOF && !a.scanner.done {
		return acaciaroute.Piece{}, io.ErrUnexpectedEOF
	}
	return acaciaroute.Piece{}, err
}

// Close implements acaciaroute.Answer.
func (a *streamAnswer) Close() error {
	return a.response.Body.Close()
}

// forceStream turns on streaming in a request body and reports whether the
// caller had asked for it.
func forceStream(body []byte) ([]byte, bool, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, false, err
	}
	var streamed bool
	if raw, ok := fields["stream"]; ok {
		if err := json.Unmarshal(raw, &streamed); err != nil {
			return nil, false, err
		}
	}
	if streamed {
		return body, true, nil
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	forced, err := json.Marshal(fields)
	return forced, false, err
}
