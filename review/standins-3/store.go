package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

type (
	// store is the platform's store, a log of keyed records for each topic.
	store struct {
		mu      sync.Mutex
		topics  map[string][]storeRecord
		changed chan struct{}
		server  *http.Server
		address string
	}

	storeRecord struct {
		key   string
		value []byte
	}

	newestItem struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
)

const (
	recordLengthBytes = 4
	maxItems          = 500
)

func newStore() (*store, error) {
	s := &store{topics: map[string][]storeRecord{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /acaciaroute/log-newest", s.serveNewest)
	mux.HandleFunc("GET /acaciaroute/log-read", s.serveRead)
	mux.HandleFunc("POST /acaciaroute/log-append", s.serveAppend)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put appends a record; a nil value drops the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], storeRecord{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) putJSON(topic, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.put(topic, key, encoded)
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	records := s.topics[r.URL.Query().Get("topic")]
	s.mu.Unlock()
	newest := map[string]newestItem{}
	for offset, rec := range records {
		delete(newest, rec.key)
		if len(rec.value) > 0 {
			newest[rec.key] = newestItem{rec.key, base64.StdEncoding.EncodeToString(rec.value), offset}
		}
	}
	reply := struct {
		Items   []newestItem `json:"items"`
		HasMore bool         `json:"hasMore"`
		End     int          `json:"end"`
	}{Items: []newestItem{}, End: len(records)}
	for _, item := range newest {
		if item.Key > r.URL.Query().Get("after") {
			reply.Items = append(reply.Items, item)
		}
	}
	slices.SortFunc(reply.Items, func(a, b newestItem) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	if len(reply.Items) > maxItems {
		reply.Items, reply.HasMore = reply.Items[:maxItems], true
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		records, changed := s.topics[query.Get("topic")], s.changed
		s.mu.Unlock()
		if from > len(records) {
			from = len(records)
		}
		if from < len(records) || !waiting {
			_, _ = w.Write(encodeRecords(records, from))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func encodeRecords(records []storeRecord, from int) []byte {
	data := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	data = binary.BigEndian.AppendUint64(data, 0)
	for _, rec := range records[from:] {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(rec.key)+len(rec.value)))
		data = append(data, byte(len(rec.key)))
		data = append(data, rec.key...)
		data = append(data, rec.value...)
	}
	return data
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	offset := len(s.topics[topic])
	s.mu.Unlock()
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(offset) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_, _ = fmt.Fprintf(w, `{"end":%d}`, offset)
		return
	}
	for len(data) > recordLengthBytes {
		length := int(binary.BigEndian.Uint32(data))
		entry := data[recordLengthBytes : recordLengthBytes+length]
		data = data[recordLengthBytes+length:]
		key := string(entry[1 : 1+entry[0]])
		s.put(topic, key, entry[1+entry[0]:])
	}
	s.mu.Lock()
	end := len(s.topics[topic])
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"offset":%d,"end":%d}`, offset, end)
}
