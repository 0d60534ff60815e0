package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// hugeKind asks for as many tokens as the largest integer of some languages: more than any replica has
// memory for.
var hugeKind = kind{class: "custody-cert", method: http.MethodPost, path: "/cert/2f", deadline: 10 * time.Second, bodyBytes: 17000,
	headers: "Model: m\r\nToken-Count: 1460,4611686018427387903\r\n", prefix: "5c1e07a2:60"}

// playTokens lets one client send requests that are larger than a replica's memory.
func playTokens(b *bed) int {
	b.putConfiguration()
	for range 3 {
		p := b.addReplica(engine)
		p.events, p.prefill = 8, 500*time.Millisecond
		b.addReplica(plain)
	}
	b.addGateway()
	b.addGateway()
	if !b.waitGateways() {
		return exitNotRun
	}
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, g := range b.gateways {
		for range 8 {
			wg.Add(1)
			go b.client(ctx, &wg, g, certKind, 100*time.Millisecond)
		}
		for range 3 {
			wg.Add(2)
			go b.client(ctx, &wg, g, bookKind, 200*time.Millisecond)
			go b.client(ctx, &wg, g, readKind, 200*time.Millisecond)
		}
	}
	time.Sleep(8 * time.Second)
	k := certKind
	if b.trouble.Load() {
		k = hugeKind
	}
	b.say("%s: one client begins to send requests with %q", time.Since(b.begun), k.headers)
	one, stopOne := context.WithTimeout(ctx, 15*time.Second)
	wg.Add(1)
	go b.client(one, &wg, b.gateways[0], k, 5*time.Second)
	<-one.Done()
	stopOne()
	time.Sleep(4 * time.Second)
	stop()
	wg.Wait()
	return b.judgeLost()
}
