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
	// PlainServer is a plain HTTP service whose answer depends on the request
	// alone. It counts the requests by body; GET /runs returns the counts.
	PlainServer struct {
		mu         sync.Mutex
		runsByBody map[string]int
	}
)

const maxAnswerBytes = 64 << 20

// NewPlainServer returns a plain service with all counts at zero.
func NewPlainServer() *PlainServer {
	return &PlainServer{runsByBody: map[string]int{}}
}

// PlainAnswer returns the answer to a request: size bytes derived from a hash of its
// method, path and body.
func PlainAnswer(method, path, body string, size int) string {
	sum := sha256.Sum256([]byte(method + " " + path + " " + body))
	line := hex.EncodeToString(sum[:]) + "\n"
	return strings.Repeat(line, size/len(line)+1)[:size]
}

// ServeHTTP implements http.Handler. The query parameters size and delay set the length
// of the answer in bytes and the time before it is sent.
func (s *PlainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/runs" {
		s.mu.Lock()
		defer s.mu.Unlock()
		writeReply(w, s.runsByBody, nil)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runsByBody[string(body)]++
	s.mu.Unlock()
	query := r.URL.Query()
	if delay, err := time.ParseDuration(query.Get("delay")); err == nil {
		time.Sleep(delay)
	}
	size, err := strconv.Atoi(query.Get("size"))
	if err != nil || size < 0 || size > maxAnswerBytes {
		size = 100
	}
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = fmt.Fprint(w, PlainAnswer(r.Method, r.URL.RequestURI(), string(body), size))
}
