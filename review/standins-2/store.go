package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: keyed topics with one partition.
type store struct {
	mu       sync.Mutex
	topics   map[string]*topic
	server   *http.Server
	listener net.Listener
}

// topic is a log of keyed records.
type topic struct {
	records []keyedRecord
	changed chan struct{}
}

type keyedRecord struct {
	key   string
	value []byte
}

// newStore starts a store on a free loopback port.
func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{topics: map[string]*topic{}, listener: listener}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) close() { _ = s.server.Close() }

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a record; a nil value drops the key.
func (s *store) put(topicName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topicName)
	t.records = append(t.records, keyedRecord{key, value})
	close(t.changed)
	t.changed = make(chan struct{})
}

func (s *store) putJSON(topicName, key string, value any) {
	// All values are plain structures, which can be encoded.
	data, _ := json.Marshal(value)
	s.put(topicName, key, data)
}

// ServeHTTP answers log-newest, log-read and log-append.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/acaciaroute/log-newest":
		s.serveNewest(w, r)
	case "/acaciaroute/log-read":
		s.serveRead(w, r)
	case "/acaciaroute/log-append":
		s.serveAppend(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	const pageItems = 500
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	newest := map[string]item{}
	for i, record := range t.records {
		if record.value == nil {
			delete(newest, record.key)
			continue
		}
		newest[record.key] = item{record.key, record.value, int64(i)}
	}
	end := len(t.records)
	s.mu.Unlock()
	items := []item{}
	for key, it := range newest {
		if key > after || after == "" {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": more, "end": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		changed, end := t.changed, len(t.records)
		var body []byte
		body = binary.BigEndian.AppendUint64(body, uint64(end))
		body = binary.BigEndian.AppendUint64(body, 0)
		for _, record := range t.records[min(from, end):] {
			data := append([]byte{byte(len(record.key))}, record.key...)
			data = append(data, record.value...)
			body = binary.BigEndian.AppendUint32(body, uint32(len(data)))
			body = append(body, data...)
		}
		s.mu.Unlock()
		if end > from || wait == 0 {
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(query.Get("topic"))
	first := len(t.records)
	w.Header().Set("Content-Type", "application/json")
	if at := query.Get("at"); at != "" && at != strconv.Itoa(first) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"end": first})
		return
	}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		data := body[4 : 4+size]
		body = body[4+size:]
		key, value := string(data[1:1+data[0]]), data[1+data[0]:]
		if len(value) == 0 {
			value = nil
		}
		t.records = append(t.records, keyedRecord{key, value})
	}
	close(t.changed)
	t.changed = make(chan struct{})
	_ = json.NewEncoder(w).Encode(map[string]any{"offset": first, "end": len(t.records)})
}
