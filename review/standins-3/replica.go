package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

type (
	// replica is a replica of a service. Each start has a new ID.
	replica struct {
		fleet   *fleet
		service string
		address string
		// poison is what the path of a request contains that crashes the replica, after poisonEvents events.
		poison       string
		poisonEvents int
		mu           sync.Mutex
		starts       int
		id           string
		born         int64
		server       *http.Server
		conns        map[net.Conn]bool
		running      bool
		stopped      chan struct{}
		arrivals     []arrival
		// shed is the share of its requests that it rejects.
		shed float64
	}

	// arrival is a request that reached a replica.
	arrival struct {
		at      time.Time
		attempt string
		path    string
		replica string
	}
)

const (
	heartbeat = 1200 * time.Millisecond
	// expiry is the silence after which the store drops an entry.
	expiry = 3 * heartbeat
	// downTime is how long a replica is away after a crash.
	downTime      = 2 * time.Second
	eventInterval = 25 * time.Millisecond
	streamEvents  = 20
	// workTime is how long a replica works on a request that crashes it after the last event.
	workTime = 100 * time.Millisecond
	slots    = 6
)

// addReplica starts a replica of a service.
func (f *fleet) addReplica(service string) (*replica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{fleet: f, service: service, address: listener.Addr().String(), stopped: make(chan struct{})}
	f.mu.Lock()
	f.replicas = append(f.replicas, r)
	f.mu.Unlock()
	r.serve(listener)
	return r, nil
}

// serve begins a new start of the replica, which registers at once and then every heartbeat.
func (r *replica) serve(listener net.Listener) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts++
	_, port, _ := net.SplitHostPort(r.address)
	r.id, r.born, r.running = fmt.Sprintf("i-%s-%d", port, r.starts), time.Now().UnixMilli(), true
	r.conns = map[net.Conn]bool{}
	id, born := r.id, r.born
	conns := r.conns
	r.server = &http.Server{
		Handler: http.HandlerFunc(r.handle),
		ConnState: func(conn net.Conn, state http.ConnState) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if state == http.StateNew {
				conns[conn] = true
			}
			if state == http.StateClosed {
				delete(conns, conn)
			}
		},
	}
	server := r.server
	go func() { _ = server.Serve(listener) }()
	r.fleet.record.printf("replica %s of %s starts at %s", id, r.service, r.address)
	r.register(id, born, "ready", 1)
	go r.heartbeats(id)
}

// register writes the entry, which changes only when more than its sequence does.
func (r *replica) register(id string, born int64, state string, sequence int) {
	r.fleet.store.putJSON("keyed.servers", id, map[string]any{
		"service": r.service, "address": r.address, "zone": "z1", "version": "v1", "slots": slots, "state": state,
		"coldLeftMs": 0, "sequence": sequence, "born": born,
	})
}

// heartbeats drops the entry when the start has been silent for the expiry.
func (r *replica) heartbeats(id string) {
	for {
		select {
		case <-time.After(heartbeat):
		case <-r.stopped:
			return
		}
		r.mu.Lock()
		alive := r.running && r.id == id
		r.mu.Unlock()
		if !alive {
			time.Sleep(expiry - heartbeat)
			r.fleet.store.put("keyed.servers", id, nil)
			return
		}
	}
}

// crash ends the replica's process: its connections are reset and nothing listens until it is back.
func (r *replica) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.running {
		return
	}
	r.running = false
	r.fleet.record.printf("replica %s crashes", r.id)
	r.fleet.recordCrash()
	_ = r.endLocked()
	time.AfterFunc(downTime, func() {
		select {
		case <-r.stopped:
			return
		default:
		}
		listener, err := net.Listen("tcp", r.address)
		if err != nil {
			r.fleet.record.printf("replica at %s can't start again: %v", r.address, err)
			return
		}
		r.serve(listener)
	})
}

// endLocked closes the listener and resets all connections.
func (r *replica) endLocked() error {
	server, conns := r.server, r.conns
	for conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	done := make(chan error, 1)
	go func() { done <- server.Close() }()
	// Close calls ConnState, which needs the lock.
	r.mu.Unlock()
	err := <-done
	r.mu.Lock()
	return err
}

func (r *replica) stop() {
	close(r.stopped)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = false
	_ = r.endLocked()
}

// handle runs a request.
func (r *replica) handle(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	id, born := r.id, r.born
	r.mu.Unlock()
	w.Header().Set("Replica-Id", id)
	switch request.URL.Path {
	case "/health":
		return
	case "/acaciaroute/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"stage":"combined","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,"running":0,"kvUsed":0,"kvTotal":782165,"handles":0,"born":%d}`, born)
		return
	}
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	attempt := request.Header.Get("Attempt-Id")
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{time.Now(), attempt, request.URL.Path, id})
	rejected := rand.Float64() < r.shed
	r.mu.Unlock()
	if rejected {
		r.fleet.record.printf("replica %s rejects %s %s (%s)", id, request.Method, request.URL.Path, attempt)
		w.Header().Set("Attempt-Id", attempt)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.fleet.record.printf("replica %s runs %s %s (%s)", id, request.Method, request.URL.Path, attempt)
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Response-Seal", fmt.Sprintf("seal-%s-%d", attempt, len(body)))
	w.Header().Set("Weight-Versions", "1")
	poisoned := r.poison != "" && strings.Contains(request.URL.Path, r.poison)
	if strings.HasPrefix(request.URL.Path, "/draft/") {
		events := streamEvents
		if poisoned {
			events = r.poisonEvents
		}
		if err := writeStream(w, request, events); err != nil {
			return
		}
		if poisoned && !waitFor(request, workTime) {
			return
		}
	} else if !poisoned {
		_, _ = fmt.Fprintf(w, "answer to %s", attempt)
	}
	if poisoned {
		r.crash()
		// The process has ended, so that it writes nothing more.
		panic(http.ErrAbortHandler)
	}
}

var errGone = errors.New("the caller has gone")

// waitFor waits and reports whether the connection has lasted; a replica drops a request whose connection closes.
func waitFor(request *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-request.Context().Done():
		return false
	}
}

func writeStream(w http.ResponseWriter, request *http.Request, events int) error {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range events {
		if !waitFor(request, eventInterval) {
			return errGone
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: tokens of event %d\n\n", i+1, i+1); err != nil {
			return err
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) recordCrash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes = append(f.crashes, time.Now())
}

// crashTimes returns when replicas crashed, in order.
func (f *fleet) crashTimes() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.crashes)
}

// arrivalsOf returns the requests whose path contains a text and that reached any replica, in order.
func (f *fleet) arrivalsOf(text string) []arrival {
	f.mu.Lock()
	replicas := f.replicas
	f.mu.Unlock()
	var found []arrival
	for _, r := range replicas {
		r.mu.Lock()
		for _, a := range r.arrivals {
			if strings.Contains(a.path, text) {
				found = append(found, a)
			}
		}
		r.mu.Unlock()
	}
	sortArrivals(found)
	return found
}
