package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a sound stand-in of the platform's store: keyed topics with one partition, of which it
// serves log-append, log-read and log-newest.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

type topic struct {
	records []record
	changed chan struct{}
}

type record struct {
	key   string
	value []byte
}

func newStore() *store {
	return &store{topics: map[string]*topic{}}
}

// get returns a topic; mu must be held.
func (s *store) get(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a record; an empty value deletes the key.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.get(name)
	t.records = append(t.records, record{key, value})
	close(t.changed)
	t.changed = make(chan struct{})
}

func (s *store) putJSON(name, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.put(name, key, data)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/acaciaroute/log-newest":
		s.serveNewest(w, r, name)
	case "/acaciaroute/log-read":
		s.serveRead(w, r, name)
	case "/acaciaroute/log-append":
		s.serveAppend(w, r, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request, name string) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	t := s.get(name)
	newest := map[string]item{}
	for offset, rec := range t.records {
		delete(newest, rec.key)
		if len(rec.value) > 0 {
			newest[rec.key] = item{rec.key, rec.value, offset}
		}
	}
	end := len(t.records)
	s.mu.Unlock()
	after := r.URL.Query().Get("after")
	items := []item{}
	for _, it := range newest {
		if it.Key > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "end": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, name string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.get(name)
		end, changed := len(t.records), t.changed
		var records []record
		if from < end {
			records = t.records[from:end]
		}
		s.mu.Unlock()
		if len(records) > 0 || wait == 0 {
			writeRecords(w, end, records)
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

func writeRecords(w http.ResponseWriter, end int, records []record) {
	data := binary.BigEndian.AppendUint64(nil, uint64(end))
	data = binary.BigEndian.AppendUint64(data, 0)
	for _, rec := range records {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(rec.key)+len(rec.value)))
		data = append(data, byte(len(rec.key)))
		data = append(data, rec.key...)
		data = append(data, rec.value...)
	}
	_, _ = w.Write(data)
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, name string) {
	data, err := io.ReadAll(r.Body)
	if err != nil || len(data) < 5 || len(data) < 5+int(data[4]) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	keyEnd := 5 + int(data[4])
	s.put(name, string(data[5:keyEnd]), data[keyEnd:])
	s.mu.Lock()
	end := len(s.get(name).records)
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": end - 1, "end": end})
}
