package acaciastandin

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// PlainServer is a plain service: it answers every call with bytes that
	// depend on the call alone, and counts how often each body was run.
	PlainServer struct {
		mu   sync.Mutex
		runs map[string]int
	}
)

const maxAnswer = 64 << 20

// NewPlainServer returns a plain service.
func NewPlainServer() *PlainServer {
	return &PlainServer{runs: map[string]int{}}
}

// PlainAnswer returns the answer to a call: size bytes made from its parts.
func PlainAnswer(method, path, body string, size int) string {
	sum := sha256.Sum256([]byte(method + " " + path + " " + body))
	line := hex.EncodeToString(sum[:]) + "\n"
	return strings.Repeat(line, size/len(line)+1)[:size]
}

// ServeHTTP implements http.Handler. The query may set size in bytes and delay.
func (s *PlainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/runs" {
		s.mu.Lock()
		defer s.mu.Unlock()
		reply(w, s.runs, nil)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs[string(body)]++
	s.mu.Unlock()
	query := r.URL.Query()
	if delay, err := time.ParseDuration(query.Get("delay")); err == nil {
		time.Sleep(delay)
	}
	size, err := strconv.Atoi(query.Get("size"))
	if err != nil || size < 0 || size > maxAnswer {
		size = 100
	}
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = fmt.Fprint(w, PlainAnswer(r.Method, r.URL.RequestURI(), string(body), size))
}
