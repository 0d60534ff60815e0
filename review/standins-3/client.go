package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

// answer is what a client has got for an attempt.
type answer struct {
	status     int
	seal       string
	body       string
	retryAfter string
	err        error
}

const clientDeadline = 10 * time.Second

var (
	attempts  atomic.Int64
	transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
)

// request is a client's request.
type request struct {
	method, path, body string
	prompt             string
	tokens             string
}

// send sends a request to a gateway as a new attempt, on a new connection, and records both.
func (f *fleet) send(g *gateway, r request) answer {
	attempt := fmt.Sprintf("a%06d", attempts.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, "http://"+g.address()+r.path, bytes.NewReader([]byte(r.body)))
	if err != nil {
		return answer{err: err}
	}
	httpRequest.Host = "h.example"
	httpRequest.Header.Set("Attempt-Id", attempt)
	httpRequest.Header.Set("Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	httpRequest.Header.Set("Authorization", "Bearer key-1")
	if r.tokens != "" {
		httpRequest.Header.Set("Model", "m")
		httpRequest.Header.Set("Token-Count", r.tokens)
	}
	if r.prompt != "" {
		httpRequest.Header.Set("Prompt-Prefix", r.prompt)
	}
	f.recordSent(attempt)
	f.record.printf("client sends %s %s to %s as %s", r.method, r.path, g.name, attempt)
	a := answer{}
	response, err := transport.RoundTrip(httpRequest)
	if err != nil {
		a.err = err
	} else {
		body, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		a = answer{status: response.StatusCode, seal: response.Header.Get("Response-Seal"), body: string(body), retryAfter: response.Header.Get("Retry-After"), err: readErr}
	}
	f.record.printf("client gets for %s: status %d, seal %q, %d bytes, Retry-After %q, error %v", attempt, a.status, a.seal, len(a.body), a.retryAfter, a.err)
	return a
}

func sortArrivals(arrivals []arrival) {
	slices.SortFunc(arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
}

func (f *fleet) recordSent(attempt string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent[attempt] = time.Now()
}

// sentAt returns when an attempt was sent.
func (f *fleet) sentAt(attempt string) (at time.Time, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, known = f.sent[attempt]
	return at, known
}
