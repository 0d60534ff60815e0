package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// endlessBlock is sent each endlessPause: 10 MB a second.
	endlessBlock = 100 << 10
	endlessPause = 10 * time.Millisecond
	// endlessLimit ends an answer that nobody closes.
	endlessLimit = 256 << 20
	// endlessShare is the share of its requests that a replica in trouble fails.
	endlessShare = 0.45
	// faultTime is how long the replicas are in trouble.
	faultTime = 4 * time.Second
)

// playEndless lets replicas of the plain service answer part of their requests with bytes that do not end
// before the caller closes.
func playEndless(b *bed) int {
	b.putConfiguration()
	for range 3 {
		p := b.addReplica(engine)
		p.events, p.prefill = 8, 500*time.Millisecond
	}
	var plains []*replica
	for range 3 {
		p := b.addReplica(plain)
		p.fault = p.answerEndlessly
		plains = append(plains, p)
	}
	b.addGateway()
	if !b.waitGateways() {
		return exitNotRun
	}
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	g := b.gateways[0]
	for range 16 {
		wg.Add(1)
		go b.client(ctx, &wg, g, certKind, 100*time.Millisecond)
	}
	for range 14 {
		wg.Add(1)
		go b.client(ctx, &wg, g, bookKind, 900*time.Millisecond)
	}
	for range 7 {
		wg.Add(1)
		go b.client(ctx, &wg, g, readKind, 900*time.Millisecond)
	}
	time.Sleep(8 * time.Second)
	if b.trouble.Load() {
		for _, p := range plains {
			b.say("%s: %s, a replica of %s, answers %.2f of its requests without end from now on", time.Since(b.begun), p.id, plain, endlessShare)
			p.faulty.Store(true)
		}
	}
	time.Sleep(faultTime)
	for _, p := range plains {
		p.faulty.Store(false)
	}
	b.say("%s: all replicas answer as usual", time.Since(b.begun))
	time.Sleep(8 * time.Second)
	stop()
	wg.Wait()
	return b.judgeLost()
}

// answerEndlessly answers a part of the requests with a body that does not end.
func (p *replica) answerEndlessly(w http.ResponseWriter, r *http.Request) bool {
	if float64(p.requests.Load()%20)/20 >= endlessShare {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	id := r.Header.Get(headerRequestID)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nResponse-Seal: seal.%s.%s\r\n\r\n", headerRequestID, id, id, p.id)
	block := make([]byte, endlessBlock)
	for i := range block {
		block[i] = 'x'
	}
	written := 0
	for written < endlessLimit {
		n, err := conn.Write(block)
		written += n
		if err != nil {
			break
		}
		time.Sleep(endlessPause)
	}
	p.bed.record("%s: the answer to %s did not end; its caller closed after %d MB", p.id, id, written>>20)
	return true
}
