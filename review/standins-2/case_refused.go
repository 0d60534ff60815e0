package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// The case refused: one of three replicas fails part of its requests after it has run them, as srv_grey says. Its
// failure is a 503 without Not-Executed.

const (
	refusedClients = 8
	refusedPause   = 300 * time.Millisecond
	refusedLength  = 15 * time.Second
	// The replica is grey for greyLength from greyStart on and fails greyShare of its requests meanwhile.
	greyStart  = 4 * time.Second
	greyLength = 4 * time.Second
	greyShare  = 0.45
	bookTime   = 60 * time.Millisecond
)

// greyService holds the replicas and the visits that they have booked.
type greyService struct {
	bed      *bed
	replicas []*replica

	mu    sync.Mutex
	began time.Time
	// booked counts how often each visit was booked.
	booked map[string]int
}

// book books the visit that the body names.
func (s *greyService) book(grey bool) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		visit, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		time.Sleep(bookTime)
		s.mu.Lock()
		s.booked[string(visit)]++
		since := time.Since(s.began)
		s.mu.Unlock()
		id := q.Header.Get("Attempt-Id")
		s.bed.note("%s has run %s: visit %s booked", q.Header.Get("Expect-Instance"), id, visit)
		if grey && s.bed.trouble && since >= greyStart && since < greyStart+greyLength && rand.Float64() < greyShare {
			s.bed.note("%s fails %s after the run with 503, without Not-Executed", q.Header.Get("Expect-Instance"), id)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintf(w, "booked %s", visit)
	}
}

func (s *greyService) runs(id string) (runs int) {
	for _, r := range s.replicas {
		runs += r.count(id)
	}
	return runs
}

// promises reports whether a status says that the request has not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func playRefused(b *bed) (broken int, err error) {
	s := &greyService{bed: b, began: time.Now(), booked: map[string]int{}}
	for i := range 3 {
		r, err := b.newReplica(fmt.Sprintf("i-%d", i+1), "booking-app", 6, s.book(i == 0))
		if err != nil {
			return 0, err
		}
		defer r.close()
		s.replicas = append(s.replicas, r)
	}
	if err := b.startGateways(2); err != nil {
		return 0, err
	}
	s.mu.Lock()
	s.began = time.Now()
	s.mu.Unlock()
	var attempts, answered atomic.Int64
	var refused sync.Map
	var clients sync.WaitGroup
	for range refusedClients {
		clients.Go(func() {
			for time.Since(s.began) < refusedLength {
				visit := fmt.Sprintf("v%d", attempts.Add(1))
				if s.bookVisit(visit, &attempts, &refused) {
					answered.Add(1)
				}
				time.Sleep(rand.N(2 * refusedPause))
			}
		})
	}
	clients.Wait()
	refused.Range(func(id, status any) bool {
		if s.runs(id.(string)) > 0 {
			b.note("BROKEN: %s was answered %d and has run", id, status)
			broken++
		}
		return true
	})
	twice := 0
	for visit, n := range s.booked {
		if n > 1 {
			b.note("visit %s was booked %d times", visit, n)
			twice++
		}
	}
	b.note("%d visits with a success, %d visits booked more than once", answered.Load(), twice)
	if answered.Load() == 0 {
		return 0, fmt.Errorf("no visit was answered with a success")
	}
	return broken, nil
}

// bookVisit sends a visit, and once more, as an attempt of its own, if the answer promises that it has not run.
func (s *greyService) bookVisit(visit string, attempts *atomic.Int64, refused *sync.Map) (success bool) {
	for range 2 {
		id := fmt.Sprintf("%016x", rand.Uint64())
		g := s.bed.gateways[rand.IntN(len(s.bed.gateways))]
		s.bed.note("sent %s: visit %s to %s", id, visit, g.name)
		a := request(g.address(), http.MethodPost, "/visit-book/", id, visit)
		s.bed.note("answered %s: %d, Response-Seal %q, Retry-After %q, error %v", id, a.status, a.seal, a.retryAfter, a.err)
		if !promises(a.status) {
			return a.status == http.StatusOK
		}
		refused.Store(id, a.status)
		if seconds, err := strconv.ParseFloat(a.retryAfter, 64); err == nil {
			time.Sleep(min(time.Duration(seconds*float64(time.Second)), deadline/3))
		}
	}
	return false
}
