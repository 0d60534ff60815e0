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
	// EngineServer serves a simulated engine over HTTP with an OpenAI-compatible
	// completions API.
	EngineServer struct {
		loop   *acacialoop.Process
		core   *EngineCore
		fenced bool
		mux    *http.ServeMux

		mu            sync.Mutex
		evictions     []timedCacheEviction
		load          acaciaroute.LoadReport
		fence         acaciaroute.Offset
		orders        []acaciaroute.Order
		runsByRequest map[string]int
		// crashes counts the crashes caused by prompts that contain PoisonMarker.
		crashes int
	}

	// EngineFault is a fault to inject into the engine.
	EngineFault struct {
		// Slowdown multiplies the duration of steps; 1 restores the normal speed, 0 leaves
		// the present one.
		Slowdown float64 `json:"slowdown"`
		// Crash drops all sequences and clears the cache.
		Crash bool `json:"crash"`
	}

	timedCacheEviction struct {
		acaciaroute.CacheEviction
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
	// reportDelay is the interval between load reports and the delay of cache
	// evictions.
	reportDelay = 2 * time.Second
	// evictionLossInterval is the interval, in evictions, at which a cache eviction is
	// dropped: every tenth one is never served.
	evictionLossInterval = 10
	defaultOutputTokens  = 32
	// PoisonMarker makes the engine crash when a prompt contains it.
	PoisonMarker = "poison-pill"
	// tokenChannelCapacity is the capacity of the channel between the loop and the
	// handler of a request; the loop blocks when the channel is full.
	tokenChannelCapacity = 4096
)

// NewEngineServer returns a server that owns an engine. If fenced is true, it rejects
// orders with a fencing number lower than one it has accepted.
func NewEngineServer(ctx context.Context, settings EngineSettings, fenced bool) *EngineServer {
	loop := acacialoop.New(ctx)
	s := &EngineServer{
		loop:          loop,
		core:          NewEngineCore(loop, settings),
		fenced:        fenced,
		mux:           http.NewServeMux(),
		runsByRequest: map[string]int{},
	}
	s.core.OnEvict(s.recordEviction)
	s.mux.HandleFunc("POST /v1/chat/completions", s.serveCompletion)
	s.mux.HandleFunc("POST /v1/completions", s.serveCompletion)
	s.mux.HandleFunc("GET /load", s.serveLoad)
	s.mux.HandleFunc("GET /cache_events", s.serveEvictions)
	s.mux.HandleFunc("POST /orders", s.acceptOrder)
	s.mux.HandleFunc("GET /orders", s.serveOrders)
	s.mux.HandleFunc("POST /faults", s.injectFault)
	s.mux.HandleFunc("GET /runs", s.serveRuns)
	s.mux.HandleFunc("GET /crashes", s.serveCrashes)
	loop.After(reportDelay, s.updateLoad)
	return s
}

// ServeHTTP implements http.Handler.
func (s *EngineServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetSlowdown multiplies the duration of all later steps by factor.
func (s *EngineServer) SetSlowdown(factor float64) {
	s.loop.Post(func() { s.core.SetSlowdown(factor) })
}

// Close stops the engine.
func (s *EngineServer) Close() {
	s.loop.Close()
}

// AnswerToken returns the text of the answer's token at a position. It depends only on
// prompt and position, so that every run of a request gives the same answer.
func AnswerToken(prompt []byte, position int) string {
	hash := fnv.New64a()
	_, _ = hash.Write(prompt)
	_, _ = fmt.Fprintf(hash, "%d", position)
	return fmt.Sprintf("w%04x ", hash.Sum64()&0xffff)
}

// AnswerText returns the complete answer to the prompt or messages of a request, with
// the given number of tokens.
func AnswerText(prompt []byte, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(AnswerToken(prompt, i))
	}
	return text.String()
}

func (s *EngineServer) serveCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var request engineRequest
	if err := json.Unmarshal(body, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.countRun(r.Header.Get("X-Request-Id"))
	if request.MaxTokens == 0 {
		request.MaxTokens = defaultOutputTokens
	}
	chat := strings.HasSuffix(r.URL.Path, "/chat/completions")
	prompt := append(append([]byte(nil), request.Messages...), request.Prompt...)
	tokens := make(chan bool, tokenChannelCapacity)
	crashed := make(chan struct{})
	sequence := &Sequence{
		Prefixes:     acaciaprefix.PrefixHashes(request.Model, prompt),
		PromptTokens: max(1, acaciaprefix.EstimateTokens(prompt)),
		OutputTokens: request.MaxTokens,
		OnToken:      func(last bool) { tokens <- last },
		OnCrash:      func() { close(crashed) },
	}
	if bytes.Contains(prompt, []byte(PoisonMarker)) {
		sequence.OnToken = func(bool) { s.crashOnPoison() }
	}
	s.loop.Post(func() { s.core.Submit(sequence) })
	defer s.loop.Post(func() { s.core.Cancel(sequence) })
	w.Header().Set("Content-Type", "text/event-stream")
	s.streamAnswer(w, r, request, prompt, chat, tokens, crashed)
}

func (s *EngineServer) streamAnswer(w http.ResponseWriter, r *http.Request, request engineRequest, prompt []byte, chat bool, tokens <-chan bool, crashed <-chan struct{}) {
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

// writeToken writes a token as a server-sent event.
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

func (s *EngineServer) recordEviction(prefix uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	eviction := acaciaroute.CacheEviction{Sequence: int64(len(s.evictions)) + 1, Prefix: prefix}
	s.evictions = append(s.evictions, timedCacheEviction{eviction, time.Now()})
}

// serveEvictions serves the cache evictions after a sequence number, delayed by
// reportDelay and without every tenth one, to simulate a feed with delay and loss.
func (s *EngineServer) serveEvictions(w http.ResponseWriter, r *http.Request) {
	var after int64
	_, _ = fmt.Sscan(r.URL.Query().Get("after"), &after)
	s.mu.Lock()
	defer s.mu.Unlock()
	evictions := []acaciaroute.CacheEviction{}
	for _, eviction := range s.evictions {
		if eviction.Sequence > after && eviction.Sequence%evictionLossInterval != 0 && time.Since(eviction.at) > reportDelay {
			evictions = append(evictions, eviction.CacheEviction)
		}
	}
	writeReply(w, evictions, nil)
}

// updateLoad records the load that serveLoad returns until the next update.
func (s *EngineServer) updateLoad() {
	load := s.core.Load()
	s.mu.Lock()
	s.load = load
	s.mu.Unlock()
	s.loop.After(reportDelay, s.updateLoad)
}

func (s *EngineServer) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeReply(w, s.load, nil)
}

func (s *EngineServer) acceptOrder(w http.ResponseWriter, r *http.Request) {
	var order acaciaroute.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fenced && order.Fence < s.fence {
		http.Error(w, "fencing number is lower than one already accepted", http.StatusConflict)
		return
	}
	s.fence = max(s.fence, order.Fence)
	s.orders = append(s.orders, order)
}

func (s *EngineServer) serveOrders(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeReply(w, s.orders, nil)
}

func (s *EngineServer) injectFault(w http.ResponseWriter, r *http.Request) {
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

// crashOnPoison counts a crash and lets the engine crash after the present callback. It
// must be called on the loop.
func (s *EngineServer) crashOnPoison() {
	s.mu.Lock()
	s.crashes++
	s.mu.Unlock()
	s.loop.Post(s.core.Crash)
}

func (s *EngineServer) serveCrashes(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeReply(w, s.crashes, nil)
}

func (s *EngineServer) countRun(requestID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runsByRequest[requestID]++
}

// serveRuns serves the number of times each request ID has reached the engine.
func (s *EngineServer) serveRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeReply(w, s.runsByRequest, nil)
}
