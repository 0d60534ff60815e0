package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// bed is a small deployment: a store, replicas, gateways and clients.
type bed struct {
	program      string
	temp         string
	storeAddress string
	seedIP       string
	ports        [4]int
	store        *store
	gateways     []*gateway
	// lostGateways is the number of gateways, the last ones, whose machines are lost.
	lostGateways int
	version      int
	nextID       atomic.Int64
	trouble      atomic.Bool
	// cleanUp ends the processes of the case other than gateways.
	cleanUp func()
	begun   time.Time

	mu      sync.Mutex
	lines   *os.File
	runs    map[string]*run
	results []result
}

// run is what replicas saw of one request.
type run struct {
	count   int
	sound   bool
	replica string
}

// newBed starts the store.
func newBed(dir, program string) *bed {
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		panic(err)
	}
	lines, err := os.Create(dir + "/record.txt")
	if err != nil {
		panic(err)
	}
	b := &bed{program: program, temp: temp, store: newStore(), begun: time.Now(), lines: lines, runs: map[string]*run{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	b.storeAddress = listener.Addr().String()
	go func() { _ = http.Serve(listener, b.store) }()
	return b
}

// record writes one line to record.txt.
func (b *bed) record(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.lines, "%8.3f %s\n", time.Since(b.begun).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to record.txt and to standard output.
func (b *bed) say(format string, args ...any) {
	b.record(format, args...)
	fmt.Printf(format+"\n", args...)
}

// close ends all processes and removes the temporary folder.
func (b *bed) close() {
	if b.cleanUp != nil {
		b.cleanUp()
	}
	for _, g := range b.gateways {
		g.close()
	}
	_ = b.lines.Close()
	_ = os.RemoveAll(b.temp)
}

// recordRun records that a replica began to work on a request.
func (b *bed) recordRun(id, replica string, sound bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.runs[id]
	if r == nil {
		r = &run{sound: true}
		b.runs[id] = r
	}
	r.count++
	r.replica = replica
	r.sound = r.sound && sound
}

const (
	host        = "ficu95.example"
	tenant      = "hule930"
	apiKey      = "i9n73hh2b9wu3fexd9dn"
	thirdTenant = "sima207"
	thirdKey    = "w8k3vd0ylq5nt2xcj6pa"
	otherTenant = "pavo114"
	otherKey    = "q2zzm81tr0c6yk5dhw3e"
	engine      = "llm-pool"
	plain       = "booking-app"
)

// putConfiguration writes the configuration, in the form and with the figures of dala-shred.
func (b *bed) putConfiguration() {
	b.version++
	routes := []map[string]any{
		{"name": "custody-cert", "host": host, "pathPrefix": "/cert/", "routeType": "streaming", "timeoutMs": 10000, "targetLatencyMs": 800, "targetGapMs": 300, "priority": 0, "service": engine, "maxAttempts": 1, "sticky": true, "streamResume": false},
		{"name": "missed-pickup", "host": host, "pathPrefix": "/pickup/", "routeType": "streaming", "timeoutMs": 5000, "targetLatencyMs": 600, "targetGapMs": 300, "priority": 1, "service": engine, "maxAttempts": 2, "sticky": true, "streamResume": true},
		{"name": "visit-book", "host": host, "pathPrefix": "/book/", "routeType": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 400, "priority": 2, "service": plain, "maxAttempts": 1},
		{"name": "schedule-read", "host": host, "pathPrefix": "/read/", "routeType": "idempotent", "timeoutMs": 3000, "targetLatencyMs": 400, "priority": 2, "service": plain, "maxAttempts": 2},
	}
	b.store.putJSON("keyed.op", "config", map[string]any{
		"version": b.version,
		"routes":  routes,
		"services": []map[string]any{
			{"name": engine, "healthPath": "/health", "maxConnections": 610, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 6, "kvCapacity": 782165, "models": []map[string]any{{"name": "m"}}}},
			{"name": plain, "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{
			{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1, "unit": "token_count", "plainTokens": 200, "ratePerS": 0, "burst": 0},
			{"name": thirdTenant, "apiKeys": []string{thirdKey}, "priority": 1, "unit": "token_count", "plainTokens": 200, "ratePerS": 0, "burst": 0},
			{"name": otherTenant, "apiKeys": []string{otherKey}, "priority": 1, "unit": "token_count", "plainTokens": 200, "ratePerS": 0, "burst": 0},
		},
	})
}
