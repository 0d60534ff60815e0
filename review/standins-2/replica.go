package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// replica is a stand-in of a back end. It registers itself in the store, answers reports, refuses what isn't for it,
// and lets run answer the rest.
type replica struct {
	bed      *bed
	id       string
	service  string
	slots    int
	born     int64
	listener net.Listener
	server   *http.Server
	stopped  chan struct{}
	run      http.HandlerFunc

	mu       sync.Mutex
	sequence int64
	runs     map[string]int
}

const heartbeat = 1200 * time.Millisecond

// newReplica starts a replica on a free loopback port and registers it.
func (b *bed) newReplica(id, service string, slots int, run http.HandlerFunc) (*replica, error) {
	r, err := b.newReplicaAt("127.0.0.1:0", id, service, slots, run)
	if err != nil {
		return nil, err
	}
	r.register()
	return r, nil
}

// newReplicaAt starts a replica at an address. Its first registration is left to the caller.
func (b *bed) newReplicaAt(address, id, service string, slots int, run http.HandlerFunc) (*replica, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &replica{
		bed: b, id: id, service: service, slots: slots, born: time.Now().UnixMilli(), listener: listener,
		stopped: make(chan struct{}), run: run, runs: map[string]int{},
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	go r.beat()
	return r, nil
}

// setRun sets what answers the requests; it must be called before the replica is registered.
func (r *replica) setRun(run http.HandlerFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.run = run
}

// close ends the replica.
func (r *replica) close() {
	close(r.stopped)
	_ = r.server.Close()
}

func (r *replica) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.stopped:
		return
	default:
	}
	r.sequence++
	r.bed.store.putJSON("keyed.servers", r.id, map[string]any{
		"service": r.service, "address": r.listener.Addr().String(), "zone": "almaty-a", "version": "1", "slots": r.slots,
		"state": "ready", "coldLeftMs": 0, "sequence": r.sequence, "born": r.born,
	})
}

func (r *replica) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.register()
		case <-r.stopped:
			return
		}
	}
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Attempt-Id")
	switch {
	case q.URL.Path == "/acaciaroute/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"stage":"combined","born":%d,"busy":false,"queued":0,"running":0}`, r.born)
		return
	case q.URL.Path == "/health":
		w.Header().Set("Replica-Id", r.id)
		return
	case id == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Attempt-Id", id)
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	r.runs[id]++
	run := r.run
	r.mu.Unlock()
	w.Header().Set("Response-Seal", "seal."+r.id+"."+id)
	run(w, q)
}

// count returns how often the replica has run a request.
func (r *replica) count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}
