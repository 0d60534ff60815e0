package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	replicaSlots    = 6
	replicaQueue    = 24
	heartbeat       = 1200 * time.Millisecond
	streamEvents    = 30
	streamPause     = 60 * time.Millisecond
	plainWork       = 60 * time.Millisecond
	plainBodyBytes  = 800
	headerRequestID = "Attempt-Id"
)

// replica is a sound replica of a service. It works on replicaSlots requests at once and queues some.
type replica struct {
	bed     *bed
	id      string
	service string
	address string
	work    time.Duration
	events  int
	// prefill is the time to the first event of a stream.
	prefill  time.Duration
	slots    chan struct{}
	waiting  atomic.Int64
	requests atomic.Int64
	// faulty is set while the replica is in trouble; fault then answers some requests and reports
	// whether it has.
	faulty  atomic.Bool
	crashed atomic.Bool
	server  *http.Server
	mu      sync.Mutex
	conns   map[net.Conn]bool
	fault   func(w http.ResponseWriter, r *http.Request) bool
}

// addReplica starts a replica and registers it at the store.
func (b *bed) addReplica(service string) *replica {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p := &replica{
		bed: b, service: service, address: listener.Addr().String(), work: plainWork, events: streamEvents,
		id: fmt.Sprintf("i-%08x", b.nextID.Add(1)*2654435761&0xffffffff), slots: make(chan struct{}, replicaSlots), conns: map[net.Conn]bool{},
	}
	p.server = &http.Server{Handler: p, ConnState: p.keepConn}
	go func() { _ = p.server.Serve(listener) }()
	go p.beat()
	return p
}

// keepConn keeps the connections of the replica, which a crash resets.
func (p *replica) keepConn(conn net.Conn, state http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state == http.StateClosed {
		delete(p.conns, conn)
		return
	}
	p.conns[conn] = true
}

// crash ends the replica: its address refuses connections, those that were open are reset, and it writes
// to the store no more. Its entry expires after three heartbeats. crash reports whether it still ran.
func (p *replica) crash() bool {
	if p.crashed.Swap(true) {
		return false
	}
	p.mu.Lock()
	conns := p.conns
	p.conns = map[net.Conn]bool{}
	p.mu.Unlock()
	for conn := range conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = p.server.Close()
	time.AfterFunc(3*heartbeat, func() { p.bed.store.put("keyed.servers", p.id, nil) })
	return true
}

// beat writes the replica's entry to the store again and again.
func (p *replica) beat() {
	born := time.Now().UnixMilli()
	for sequence := 1; !p.crashed.Load(); sequence++ {
		p.bed.store.putJSON("keyed.servers", p.id, map[string]any{
			"service": p.service, "address": p.address, "zone": "almaty-a", "version": "v1", "slots": replicaSlots,
			"state": "ready", "coldLeftMs": 0, "sequence": sequence, "born": born,
		})
		time.Sleep(heartbeat)
	}
}

// ServeHTTP implements http.Handler.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Replica-Id", p.id)
		return
	}
	id := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != p.id {
		notRun(w, http.StatusMisdirectedRequest)
		return
	}
	if p.waiting.Add(1) > replicaSlots+replicaQueue {
		p.waiting.Add(-1)
		notRun(w, http.StatusServiceUnavailable)
		return
	}
	defer p.waiting.Add(-1)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case p.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-p.slots }()
	p.requests.Add(1)
	faulty := p.faulty.Load()
	p.bed.recordRun(id, p.id, !faulty)
	if faulty && p.fault(w, r) {
		return
	}
	w.Header().Set("Response-Seal", "seal."+id+"."+p.id)
	if p.service == engine {
		p.stream(w, r)
		return
	}
	select {
	case <-time.After(p.work):
	case <-r.Context().Done():
		return
	}
	body := plainBody(id)
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = io.WriteString(w, body)
}

// plainBody returns the body of the answer to a request.
func plainBody(id string) string {
	return strings.Repeat(id+".", plainBodyBytes/(len(id)+1))
}

func (p *replica) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	select {
	case <-time.After(p.prefill):
	case <-r.Context().Done():
		return
	}
	for event := 1; event <= p.events; event++ {
		select {
		case <-time.After(streamPause):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", event, r.Header.Get(headerRequestID), event)
		_ = http.NewResponseController(w).Flush()
	}
}

func notRun(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}
