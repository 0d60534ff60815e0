package acaciaplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/acaciaroute/acaciaroute"
)

type (
	logClient struct {
		base   string
		client *http.Client
	}

	// AppendReply is the log service's answer to an append.
	AppendReply struct {
		Offset acaciaroute.Offset `json:"offset"`
	}

	// ReadReply is the log service's answer to a read.
	ReadReply struct {
		Records []RecordReply `json:"records"`
	}

	// RecordReply is one record of a ReadReply.
	RecordReply struct {
		Offset acaciaroute.Offset `json:"offset"`
		Data   []byte             `json:"data"`
	}

	// HeadReply is the log service's answer about the ends of a stream.
	HeadReply struct {
		Oldest acaciaroute.Offset `json:"oldest"`
		Next   acaciaroute.Offset `json:"next"`
	}
)

const maxReply = 64 << 20

// NewLog returns a client of the log service at a base URL.
func NewLog(base string, client *http.Client) acaciaroute.Log {
	return &logClient{base: base, client: client}
}

// Append implements acaciaroute.Log.
func (l *logClient) Append(ctx context.Context, stream string, data []byte) (acaciaroute.Offset, error) {
	var reply AppendReply
	err := l.call(ctx, http.MethodPost, "/streams/"+url.PathEscape(stream), data, &reply)
	return reply.Offset, err
}

// Read implements acaciaroute.Log.
func (l *logClient) Read(ctx context.Context, stream string, from acaciaroute.Offset, limit int) ([]acaciaroute.Record, error) {
	var reply ReadReply
	path := fmt.Sprintf("/streams/%s?from=%d&limit=%d", url.PathEscape(stream), from, limit)
	if err := l.call(ctx, http.MethodGet, path, nil, &reply); err != nil {
		return nil, err
	}
	records := make([]acaciaroute.Record, len(reply.Records))
	for i, record := range reply.Records {
		records[i] = acaciaroute.Record{Offset: record.Offset, Data: record.Data}
	}
	return records, nil
}

// Head implements acaciaroute.Log.
func (l *logClient) Head(ctx context.Context, stream string) (oldest, next acaciaroute.Offset, err error) {
	var reply HeadReply
	err = l.call(ctx, http.MethodGet, "/streams/"+url.PathEscape(stream)+"/head", nil, &reply)
	return reply.Oldest, reply.Next, err
}

func (l *logClient) call(ctx context.Context, method, path string, body []byte, reply any) error {
	status, err := callJSON(ctx, l.client, method, l.base+path, body, reply)
	if err != nil {
		return &acaciaroute.Error{Code: acaciaroute.CodeLogDown, Detail: "log service", Err: err}
	}
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusGone:
		return acaciaroute.Errorf(acaciaroute.CodeLogTrimmed, "records were dropped by retention")
	}
	return acaciaroute.Errorf(acaciaroute.CodeLogDown, "log service answered %d", status)
}

// callJSON sends one HTTP request and decodes the answer if its status is 200.
func callJSON(ctx context.Context, client *http.Client, method, address string, body []byte, reply any) (int, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, nil
	}
	return response.StatusCode, json.Unmarshal(data, reply)
}
