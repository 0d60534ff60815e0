package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The cases with a deadly part: one part of a prompt crashes each replica that begins to write an answer on it.

const (
	engineCount = 9
	engineSlots = 6
	partTokens  = 40
	lastTokens  = 200
	deadlyPart  = 0xdead
	// Requests with the deadly part come from deadlyStart to deadlyEnd.
	deadlyStart  = 10 * time.Second
	deadlyEnd    = 50 * time.Second
	poisonLength = 52 * time.Second
	// downTime is how long a crashed replica is away, entryTime how long its entry stays in the store: three heartbeats.
	downTime      = 4500 * time.Millisecond
	entryTime     = 3 * heartbeat
	prefillTime   = 40 * time.Millisecond
	eventTime     = 15 * time.Millisecond
	eventCount    = 24
	streamTimeout = 10 * time.Second
	// stableWindow, minSound, allowedDeadly and deadlyCrashes are those of the rules.
	stableWindow  = 4 * time.Second
	minSound      = 20
	allowedDeadly = 3
	deadlyCrashes = 5
)

const poisonConfiguration = `{"version":7,"routes":[
{"name":"custody-cert","host":"` + host + `","pathPrefix":"/custody-cert/","routeType":"streaming","timeoutMs":10000,"targetLatencyMs":800,"priority":0,"service":"llm-pool","maxAttempts":1,"public":false,"sticky":true,"streamResume":false,"targetGapMs":300}],
"services":[{"name":"llm-pool","healthPath":"/health","maxConnections":610,"protocol":"h1","tls":false,"engine":{"slots":6,"kvCapacity":782165}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"hule930","apiKeys":["` + apiKey + `"],"priority":1,"unit":"token_count","plainTokens":200,"ratePerS":162160,"burst":162160}]}`

type (
	// deadly says where the deadly part stands, and when it crashes a replica.
	deadly struct {
		// partsBefore is the number of parts that all prompts have in common, in front of the deadly one.
		partsBefore int
		// eventsBefore is the number of events that a replica has written when it crashes.
		eventsBefore int
		// soundRate and deadlyRate are the requests a second without and with the deadly part.
		soundRate, deadlyRate int
	}

	// engines are the replicas of the model, which crash and come back.
	engines struct {
		bed    *bed
		deadly deadly

		mu sync.Mutex
		// present holds the replica at each place, nil while it is away.
		present [engineCount]*replica
		starts  int
		// crashes holds when replicas have crashed, arrivals when requests with the deadly part have reached one, and begun
		// which requests have begun to be answered.
		crashes  []time.Time
		arrivals []deadlyArrival
		begun    map[string]bool
	}

	deadlyArrival struct {
		id     string
		sentAt time.Time
	}

	// soundRequest is a request without the deadly part.
	soundRequest struct {
		id     string
		sentAt time.Time
		whole  bool
		status int
	}
)

// start starts the replica at a place, at its former address if it has one.
func (e *engines) start(place int, address string) error {
	e.mu.Lock()
	e.starts++
	id := fmt.Sprintf("i-%d-%d", place+1, e.starts)
	e.mu.Unlock()
	r, err := e.bed.newReplicaAt(address, id, "llm-pool", engineSlots, nil)
	if err != nil {
		return err
	}
	r.setRun(func(w http.ResponseWriter, q *http.Request) { e.generate(place, r, w, q) })
	e.mu.Lock()
	e.present[place] = r
	e.mu.Unlock()
	r.register()
	e.bed.note("%s has started", id)
	return nil
}

// generate runs a request: it reads the prompt and writes the events, unless the deadly part is in the prompt.
func (e *engines) generate(place int, r *replica, w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	id, deadly := q.Header.Get("Attempt-Id"), strings.Contains(q.Header.Get("Prompt-Prefix"), fmt.Sprintf("%x:", deadlyPart))
	if deadly {
		e.mu.Lock()
		e.arrivals = append(e.arrivals, deadlyArrival{id, time.Now()})
		e.mu.Unlock()
	}
	time.Sleep(prefillTime)
	if !deadly {
		e.mu.Lock()
		e.begun[id] = true
		e.mu.Unlock()
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range eventCount {
		if deadly && i == e.deadly.eventsBefore {
			e.crash(place, r, id)
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token\n\n", i+1); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventTime)
	}
}

// crash ends a replica, which is back at its address after downTime, under another ID.
func (e *engines) crash(place int, r *replica, id string) {
	e.mu.Lock()
	if e.present[place] != r {
		e.mu.Unlock()
		return
	}
	e.present[place] = nil
	e.crashes = append(e.crashes, time.Now())
	n := len(e.crashes)
	e.mu.Unlock()
	e.bed.note("%s crashes while it runs %s: crash %d", r.id, id, n)
	address := r.listener.Addr().String()
	r.close()
	time.AfterFunc(entryTime, func() { e.bed.store.put("keyed.servers", r.id, nil) })
	time.AfterFunc(downTime, func() {
		if err := e.start(place, address); err != nil {
			e.bed.note("%s is not back: %v", r.id, err)
		}
	})
}

func (e *engines) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.present {
		if r != nil {
			r.close()
		}
	}
}

// prompt returns the parts of a prompt.
func (d deadly) prompt(deadly bool) string {
	var parts []string
	for i := range d.partsBefore {
		parts = append(parts, fmt.Sprintf("%x:%d", 0x5c1e0000+i, partTokens))
	}
	if deadly {
		parts = append(parts, fmt.Sprintf("%x:%d", deadlyPart, partTokens))
	}
	return strings.Join(append(parts, fmt.Sprintf("%x:%d", rand.Uint32(), lastTokens)), ",")
}

// stream sends a request for a stream and reads it to its end.
func (d deadly) stream(address, id string, deadly bool) (status int, whole bool) {
	conn, err := net.DialTimeout("tcp", address, dialTime)
	if err != nil {
		return 0, false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(streamTimeout))
	body := id
	_, err = fmt.Fprintf(conn, "POST /custody-cert/ HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nModel: m\r\nToken-Count: %d,120\r\nPrompt-Prefix: %s\r\nContent-Length: %d\r\n\r\n%s",
		host, apiKey, id, streamTimeout.Milliseconds(), d.partsBefore*partTokens+lastTokens, d.prompt(deadly), len(body), body)
	if err != nil {
		return 0, false
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, false
	}
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, err == nil && strings.Count(string(data), "id: ") == eventCount
}

// play plays the case.
func (d deadly) play(b *bed) (broken int, err error) {
	b.store.put("keyed.op", "config", []byte(poisonConfiguration))
	e := &engines{bed: b, deadly: d, begun: map[string]bool{}}
	defer e.close()
	for i := range engineCount {
		if err := e.start(i, "127.0.0.1:0"); err != nil {
			return 0, err
		}
	}
	if err := b.startGateways(2); err != nil {
		return 0, err
	}
	began := time.Now()
	var mu sync.Mutex
	var sound []soundRequest
	sentAt := map[string]time.Time{}
	var clients sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(d.soundRate))
	defer ticker.Stop()
	for n := 0; time.Since(began) < poisonLength; n++ {
		<-ticker.C
		since := time.Since(began)
		send := func(deadly bool) {
			id, g := fmt.Sprintf("%016x", rand.Uint64()), b.gateways[rand.IntN(len(b.gateways))]
			clients.Go(func() {
				// Requests of different callers aren't in step.
				time.Sleep(rand.N(time.Second / time.Duration(d.soundRate)))
				at := time.Now()
				mu.Lock()
				sentAt[id] = at
				mu.Unlock()
				b.note("sent %s to %s, deadly %t", id, g.name, deadly)
				status, whole := d.stream(g.address(), id, deadly)
				b.note("answered %s: %d, whole %t, deadly %t", id, status, whole, deadly)
				if !deadly {
					mu.Lock()
					sound = append(sound, soundRequest{id, at, whole, status})
					mu.Unlock()
				}
			})
		}
		send(false)
		if b.trouble && since >= deadlyStart && since < deadlyEnd && n%(d.soundRate/d.deadlyRate) == 0 {
			send(true)
		}
	}
	clients.Wait()
	return e.judge(began, sound, sentAt)
}

// judge counts by how much the rules of the letter are exceeded: 0 if they hold.
func (e *engines) judge(began time.Time, sound []soundRequest, sentAt map[string]time.Time) (broken int, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	calm, calmBegun, calmWhole := 0, 0, 0
	for _, r := range sound {
		if r.sentAt.Sub(began) < deadlyStart {
			calm++
			if e.begun[r.id] {
				calmBegun++
			}
			if r.whole {
				calmWhole++
			}
		}
	}
	e.bed.note("before the deadly part: %d sound requests, %d begun, %d whole", calm, calmBegun, calmWhole)
	if calm < minSound || 2*calmBegun < calm {
		return 0, fmt.Errorf("of %d sound requests %d were begun in calm", calm, calmBegun)
	}
	e.bed.note("%d crashes, %d arrivals of requests with the deadly part", len(e.crashes), len(e.arrivals))
	if len(e.crashes) == 0 {
		return 0, nil
	}
	// LOST counts from the last crash if there are fewer than five; BUDGET can't be exceeded before the fifth.
	fifth := e.crashes[min(len(e.crashes), deadlyCrashes)-1]
	late := 0
	for _, a := range e.arrivals {
		if sentAt[a.id].After(fifth.Add(stableWindow)) {
			late++
		}
	}
	e.bed.note("BUDGET: %d requests with the deadly part reached replicas, sent later than %v after the fifth crash; %d are allowed", late, stableWindow, allowedDeadly)
	if len(e.crashes) >= deadlyCrashes && late > allowedDeadly {
		broken += late - allowedDeadly
	}
	after, afterBegun, afterWhole := 0, 0, 0
	for _, r := range sound {
		if r.sentAt.After(fifth.Add(2*stableWindow)) && r.sentAt.Sub(began) < deadlyEnd {
			after++
			if e.begun[r.id] {
				afterBegun++
			}
			if r.whole {
				afterWhole++
			}
		}
	}
	e.bed.note("LOST: from %v after the fifth crash on, %d sound requests, %d begun, %d whole; before: %d of %d begun", 2*stableWindow, after, afterBegun, afterWhole, calmBegun, calm)
	if after >= minSound && 2*afterBegun*calm < calmBegun*after {
		e.bed.note("LOST is broken, too")
		broken++
	}
	return broken, nil
}
