package acaciastandin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acacialoop"
	"github.com/acaciaroute/acaciaroute/acaciaprefix"
)

type (
	// EngineServer serves an engine over HTTP by the usual protocol of model
	// services.
	EngineServer struct {
		loop   *acacialoop.Process
		core   *EngineCore
		fenced bool
		mux    *http.ServeMux

		mu     sync.Mutex
		events []timedEvent
		load   acaciaroute.LoadReport
		fence  acaciaroute.Offset
		orders []acaciaroute.Order
		runs   map[string]int
		// crashes counts the engine's deaths by poison.
		crashes int
	}

	// EngineFault is an order to misbehave.
	EngineFault struct {
		// Slowdown makes steps slower by a factor; 1 is the engine's own speed.
		Slowdown float64 `json:"slowdown"`
		// Crash loses all work.
		Crash bool `json:"crash"`
	}

	timedEvent struct {
		acaciaroute.CacheEvent
		at time.Time
	}

	engineRequest struct {
		Model     string          `json:"model"`
		Messages  json.RawMessage `json:"messages"`
		Prompt    json.RawMessage `json:"prompt"`
		MaxTokens int             `json:"max_tokens"`
	}
)

const (
	reportLag = 2 * time.Second
	// eventGap is how many cache events there are for each one that is lost.
	eventGap      = 10
	defaultOutput = 32
	// Poison in a prompt makes the engine crash.
	Poison      = "poison-pill"
	tokenBuffer = 4096
)

// NewEngineServer returns a server that owns an engine; it checks fencing
// numbers if fenced is true.
func NewEngineServer(ctx context.Context, settings EngineSettings, fenced bool) *EngineServer {
	loop := acacialoop.New(ctx)
	s := &EngineServer{
		loop:   loop,
		core:   NewEngineCore(loop, settings),
		fenced: fenced,
		mux:    http.NewServeMux(),
		runs:   map[string]int{},
	}
	s.core.OnEvict(s.evicted)
	s.mux.HandleFunc("POST /v1/chat/completions", s.complete)
	s.mux.HandleFunc("POST /v1/completions", s.complete)
	s.mux.HandleFunc("GET /load", s.serveLoad)
	s.mux.HandleFunc("GET /cache_events", s.serveEvents)
	s.mux.HandleFunc("POST /orders", s.order)
	s.mux.HandleFunc("GET /orders", s.serveOrders)
	s.mux.HandleFunc("POST /faults", s.fault)
	s.mux.HandleFunc("GET /runs", s.serveRuns)
	s.mux.HandleFunc("GET /crashes", s.serveCrashes)
	loop.After(reportLag, s.report)
	return s
}

// ServeHTTP implements http.Handler.
func (s *EngineServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetSlowdown makes the engine slower by a factor.
func (s *EngineServer) SetSlowdown(factor float64) {
	s.loop.Post(func() { s.core.SetSlowdown(factor) })
}

// Close stops the engine.
func (s *EngineServer) Close() {
	s.loop.Close()
}

// AnswerToken returns the text of one token of the answer to a body.
func AnswerToken(body []byte, position int) string {
	hash := fnv.New64a()
	_, _ = hash.Write(body)
	_, _ = fmt.Fprintf(hash, "%d", position)
	return fmt.Sprintf("w%04x ", hash.Sum64()&0xffff)
}

// AnswerText returns the whole text of the answer to the prompt or messages of a
// request.
func AnswerText(prompt []byte, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(AnswerToken(prompt, i))
	}
	return text.String()
}

func (s *EngineServer) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var request engineRequest
	if err := json.Unmarshal(body, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.count(r.Header.Get("X-Request-Id"))
	if request.MaxTokens == 0 {
		request.MaxTokens = defaultOutput
	}
	chat := strings.HasSuffix(r.URL.Path, "/chat/completions")
	prompt := append(append([]byte(nil), request.Messages...), request.Prompt...)
	tokens := make(chan bool, tokenBuffer)
	crashed := make(chan struct{})
	sequence := &Sequence{
		Prefixes:     acaciaprefix.Hashes(request.Model, prompt),
		PromptTokens: max(1, acaciaprefix.Tokens(prompt)),
		OutputTokens: request.MaxTokens,
		OnToken:      func(last bool) { tokens <- last },
		OnCrash:      func() { close(crashed) },
	}
	if bytes.Contains(prompt, []byte(Poison)) {
		sequence.OnToken = func(bool) { s.crash() }
	}
	s.loop.Post(func() { s.core.Submit(sequence) })
	defer s.loop.Post(func() { s.core.Cancel(sequence) })
	w.Header().Set("Content-Type", "text/event-stream")
	s.stream(w, r, request, prompt, chat, tokens, crashed)
}

func (s *EngineServer) stream(w http.ResponseWriter, r *http.Request, request engineRequest, prompt []byte, chat bool, tokens <-chan bool, crashed <-chan struct{}) {
	control := http.NewResponseController(w)
	_ = control.Flush()
	for position := 0; ; position++ {
		select {
		case last := <-tokens:
			writeToken(w, r.Header.Get("X-Request-Id"), request.Model, AnswerToken(prompt, position), chat, last)
			if last {
				_, _ = io.WriteString(w, "data: [DONE]\n\n")
				return
			}
			if control.Flush() != nil {
				return
			}
		case <-crashed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		case <-s.loop.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// writeToken writes one event of the stream.
func writeToken(w io.Writer, id, model, text string, chat, last bool) {
	quoted, err := json.Marshal(text)
	if err != nil {
		return
	}
	finish := "null"
	if last {
		finish = `"stop"`
	}
	object, content := "text_completion", fmt.Sprintf(`"text":%s`, quoted)
	if chat {
		object, content = "chat.completion.chunk", fmt.Sprintf(`"delta":{"content":%s}`, quoted)
	}
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"object\":%q,\"created\":0,\"model\":%q,\"choices\":[{\"index\":0,%s,\"finish_reason\":%s}]}\n\n",
		id, object, model, content, finish)
}

func (s *EngineServer) evicted(prefix uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	event := acaciaroute.CacheEvent{Sequence: int64(len(s.events)) + 1, Prefix: prefix}
	s.events = append(s.events, timedEvent{event, time.Now()})
}

// serveEvents lists cache events late and leaves some out.
func (s *EngineServer) serveEvents(w http.ResponseWriter, r *http.Request) {
	var after int64
	_, _ = fmt.Sscan(r.URL.Query().Get("after"), &after)
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []acaciaroute.CacheEvent{}
	for _, event := range s.events {
		if event.Sequence > after && event.Sequence%eventGap != 0 && time.Since(event.at) > reportLag {
			events = append(events, event.CacheEvent)
		}
	}
	reply(w, events, nil)
}

func (s *EngineServer) report() {
	load := s.core.Load()
	s.mu.Lock()
	s.load = load
	s.mu.Unlock()
	s.loop.After(reportLag, s.report)
}

func (s *EngineServer) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(w, s.load, nil)
}

func (s *EngineServer) order(w http.ResponseWriter, r *http.Request) {
	var order acaciaroute.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fenced && order.Fence < s.fence {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	s.fence = max(s.fence, order.Fence)
	s.orders = append(s.orders, order)
}

func (s *EngineServer) serveOrders(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(w, s.orders, nil)
}

func (s *EngineServer) fault(w http.ResponseWriter, r *http.Request) {
	var fault EngineFault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.loop.Post(func() {
		if fault.Slowdown > 0 {
			s.core.SetSlowdown(fault.Slowdown)
		}
		if fault.Crash {
			s.core.Crash()
		}
	})
}

// crash loses all work; it runs on the loop.
func (s *EngineServer) crash() {
	s.mu.Lock()
	s.crashes++
	s.mu.Unlock()
	s.loop.Post(s.core.Crash)
}

func (s *EngineServer) serveCrashes(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(w, s.crashes, nil)
}

func (s *EngineServer) count(requestID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[requestID]++
}

// serveRuns tells how often each request has reached the engine.
func (s *EngineServer) serveRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(w, s.runs, nil)
}
