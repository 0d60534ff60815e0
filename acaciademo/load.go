package acaciademo

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

type (
	// class is a request class: its targets, its share of the load, and the ranges from
	// which the lengths of its prompts and answers are drawn.
	class struct {
		name         string
		yieldOrder   int
		share        float64
		firstToken   time.Duration
		tokenGap     time.Duration
		promptTokens [2]int
		outputTokens [2]int
	}

	// organisation is a customer and its share of the load.
	organisation struct {
		name  string
		share float64
	}

	// phase is a part of the demonstration with a constant load.
	phase struct {
		name   string
		length time.Duration
		// rate is the offered load in requests per second.
		rate float64
		// injectFault, if set, is called at the start of the phase, and clearFault, if
		// set, at its end.
		injectFault func(s *system)
		clearFault  func(s *system)
	}

	// outcome describes one request and what its caller observed; class and organisation
	// are indices into classes and organisations.
	outcome struct {
		phase        string
		class        int
		organisation int
		promptTokens int
		status       int
		complete     bool
		firstToken   time.Duration
		tokenGap     time.Duration
	}

	// loadGenerator sends requests to the entries in turn and collects their outcomes.
	loadGenerator struct {
		system *system
		client *http.Client
		random *rand.Rand

		mu       sync.Mutex
		outcomes []outcome
	}
)

const (
	// wordsPerToken converts the length of a prompt in tokens to a number of words.
	wordsPerToken = 0.6
	// doneEvent is the last line of a complete stream.
	doneEvent = "data: [DONE]"
	// stragglerFactor is the factor by which a straggling engine is slowed down.
	stragglerFactor = 10
)

var (
	classes = []class{
		{"rescue", 3, 0.1, 2 * time.Second, 69 * time.Millisecond, [2]int{50, 300}, [2]int{20, 50}},
		{"note", 2, 0.6, 2 * time.Second, 69 * time.Millisecond, [2]int{100, 600}, [2]int{20, 60}},
		{"survey", 1, 0.3, 5 * time.Second, 100 * time.Millisecond, [2]int{2000, 12000}, [2]int{60, 150}},
	}

	organisations = []organisation{{"hoehle", 0.47}, {"karst", 0.47}, {"verein", 0.04}, {"rettung", 0.02}}

	phases = []phase{
		{"steady", 6 * time.Second, 25, nil, nil},
		{"crest", 8 * time.Second, 125, nil, nil},
		{"straggler", 6 * time.Second, 25,
			func(s *system) { s.engines[0].engine.SetSlowdown(stragglerFactor) },
			func(s *system) { s.engines[0].engine.SetSlowdown(1) }},
		{"engine crash", 6 * time.Second, 25, func(s *system) { _ = s.engines[1].crash() }, nil},
	}
)

// runPhase sends the load of a phase, and returns when the last request has been sent;
// pending counts the requests that have not ended.
func (l *loadGenerator) runPhase(ctx context.Context, ph phase, pending *sync.WaitGroup) {
	if ph.injectFault != nil {
		ph.injectFault(l.system)
	}
	if ph.clearFault != nil {
		defer ph.clearFault(l.system)
	}
	end := time.Now().Add(ph.length)
	for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		request := l.drawRequest(ph)
		text := l.promptText(request)
		maxTokens := randomBetween(l.random, classes[request.class].outputTokens)
		entry := l.system.entries[i%len(l.system.entries)]
		pending.Add(1)
		go func() {
			defer pending.Done()
			l.sendRequest(ctx, entry, text, maxTokens, request)
		}()
		time.Sleep(time.Duration(l.random.ExpFloat64() / ph.rate * float64(time.Second)))
	}
}

// drawRequest draws the class, organisation and prompt length of a request.
func (l *loadGenerator) drawRequest(ph phase) outcome {
	o := outcome{phase: ph.name}
	o.class = pickWeighted(l.random, len(classes), func(i int) float64 { return classes[i].share })
	o.organisation = pickWeighted(l.random, len(organisations), func(i int) float64 { return organisations[i].share })
	o.promptTokens = randomBetween(l.random, classes[o.class].promptTokens)
	return o
}

// promptText returns a prompt whose first half is the beginning of one of five documents,
// so that prompts share prefixes; the second half is random.
func (l *loadGenerator) promptText(o outcome) string {
	var text strings.Builder
	document := l.random.IntN(5)
	words := int(float64(o.promptTokens) * wordsPerToken)
	for i := range words {
		if i < words/2 {
			fmt.Fprintf(&text, "d%d%d ", document, i)
			continue
		}
		fmt.Fprintf(&text, "x%d ", l.random.IntN(1000))
	}
	return text.String()
}

// sendRequest sends one request and adds its outcome.
func (l *loadGenerator) sendRequest(ctx context.Context, entry, prompt string, tokens int, o outcome) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, model, prompt, tokens)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+apiKey(organisations[o.organisation].name))
	request.Header.Set("Acacia-Class", classes[o.class].name)
	began := time.Now()
	response, err := l.client.Do(request)
	if err == nil {
		o.status = response.StatusCode
		o.readStream(response.Body, began)
		_ = response.Body.Close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

// readStream reads a stream of server-sent events and measures the time to the first token
// and the mean time between tokens.
func (o *outcome) readStream(body io.Reader, began time.Time) {
	scanner := bufio.NewScanner(body)
	tokenCount := 0
	var first, last time.Time
	for scanner.Scan() {
		line := scanner.Text()
		if line == doneEvent {
			o.complete = true
			break
		}
		if !strings.HasPrefix(line, "data:") {
			continue
		}
		tokenCount++
		last = time.Now()
		if tokenCount == 1 {
			first = last
			o.firstToken = first.Sub(began)
		}
	}
	if tokenCount > 1 {
		o.tokenGap = last.Sub(first) / time.Duration(tokenCount-1)
	}
}

// metTargets reports whether the request met its class's targets.
func (o *outcome) metTargets() bool {
	c := classes[o.class]
	return o.status == http.StatusOK && o.complete && o.firstToken <= c.firstToken && o.tokenGap <= c.tokenGap
}

// randomBetween returns a random number from limits[0] up to, but not including, limits[1].
func randomBetween(random *rand.Rand, limits [2]int) int {
	return limits[0] + random.IntN(limits[1]-limits[0])
}

// pickWeighted returns a random index below n, where weight gives the probability of each.
func pickWeighted(random *rand.Rand, n int, weight func(int) float64) int {
	remaining := random.Float64()
	for i := range n {
		remaining -= weight(i)
		if remaining < 0 {
			return i
		}
	}
	return n - 1
}
