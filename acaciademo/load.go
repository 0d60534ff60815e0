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
	class struct {
		name       string
		order      int
		share      float64
		firstToken time.Duration
		tokenGap   time.Duration
		prompt     [2]int
		output     [2]int
	}

	organisation struct {
		name  string
		share float64
	}

	// phase is a stretch of the demonstration.
	phase struct {
		name   string
		length time.Duration
		// rate is the offered load in requests per second.
		rate float64
		// begin sets a fault in motion.
		begin func(p *pool)
		end   func(p *pool)
	}

	// outcome is what a caller saw of one request.
	outcome struct {
		phase        string
		class        int
		organisation int
		prompt       int
		status       int
		whole        bool
		first        time.Duration
		gap          time.Duration
	}

	// load sends requests to the entries in turn.
	load struct {
		pool   *pool
		client *http.Client
		random *rand.Rand

		mu       sync.Mutex
		outcomes []outcome
	}
)

const (
	wordsPerToken   = 0.6
	doneEvent       = "data: [DONE]"
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
			func(p *pool) { p.engines[0].engine.SetSlowdown(stragglerFactor) },
			func(p *pool) { p.engines[0].engine.SetSlowdown(1) }},
		{"engine death", 6 * time.Second, 25, func(p *pool) { _ = p.engines[1].die() }, nil},
	}
)

// play sends the load of a phase and returns when its last request was sent.
func (l *load) play(ctx context.Context, ph phase, pending *sync.WaitGroup) {
	if ph.begin != nil {
		ph.begin(l.pool)
	}
	if ph.end != nil {
		defer ph.end(l.pool)
	}
	end := time.Now().Add(ph.length)
	for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		request := l.draw(ph)
		prompt := l.prompt(request)
		tokens := between(l.random, classes[request.class].output)
		entry := l.pool.entries[i%len(l.pool.entries)]
		pending.Add(1)
		go func() {
			defer pending.Done()
			l.send(ctx, entry, prompt, tokens, request)
		}()
		time.Sleep(time.Duration(l.random.ExpFloat64() / ph.rate * float64(time.Second)))
	}
}

func (l *load) draw(ph phase) outcome {
	o := outcome{phase: ph.name}
	o.class = pick(l.random, len(classes), func(i int) float64 { return classes[i].share })
	o.organisation = pick(l.random, len(organisations), func(i int) float64 { return organisations[i].share })
	o.prompt = between(l.random, classes[o.class].prompt)
	return o
}

// prompt returns a text that shares its beginning with others of the class.
func (l *load) prompt(o outcome) string {
	var text strings.Builder
	document := l.random.IntN(5)
	words := int(float64(o.prompt) * wordsPerToken)
	for i := range words {
		if i < words/2 {
			fmt.Fprintf(&text, "d%d%d ", document, i)
			continue
		}
		fmt.Fprintf(&text, "x%d ", l.random.IntN(1000))
	}
	return text.String()
}

// send sends one request and notes what comes.
func (l *load) send(ctx context.Context, entry, prompt string, tokens int, o outcome) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, model, prompt, tokens)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+keyOf(organisations[o.organisation].name))
	request.Header.Set("Acacia-Class", classes[o.class].name)
	began := time.Now()
	response, err := l.client.Do(request)
	if err == nil {
		o.status = response.StatusCode
		o.read(response.Body, began)
		_ = response.Body.Close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

// read reads a stream of events and times its tokens.
func (o *outcome) read(body io.Reader, began time.Time) {
	scanner := bufio.NewScanner(body)
	tokens := 0
	var first, last time.Time
	for scanner.Scan() {
		line := scanner.Text()
		if line == doneEvent {
			o.whole = true
			break
		}
		if !strings.HasPrefix(line, "data:") {
			continue
		}
		tokens++
		last = time.Now()
		if tokens == 1 {
			first = last
			o.first = first.Sub(began)
		}
	}
	if tokens > 1 {
		o.gap = last.Sub(first) / time.Duration(tokens-1)
	}
}

// good reports whether the request met its class's targets.
func (o *outcome) good() bool {
	c := classes[o.class]
	return o.status == http.StatusOK && o.whole && o.first <= c.firstToken && o.gap <= c.tokenGap
}

func between(random *rand.Rand, limits [2]int) int {
	return limits[0] + random.IntN(limits[1]-limits[0])
}

func pick(random *rand.Rand, n int, weight func(int) float64) int {
	at := random.Float64()
	for i := range n {
		at -= weight(i)
		if at < 0 {
			return i
		}
	}
	return n - 1
}
