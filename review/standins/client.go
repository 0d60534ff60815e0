package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// result is how one request ended for its client.
type result struct {
	id, class, method string
	// kept reports whether the connection had served a request before; sent whether the whole request
	// has been written.
	kept, sent bool
	status     int
	seal       string
	body       string
	err        error
	gateway    string
	sentAt     time.Time
	endedAt    time.Time
	deadline   time.Duration
}

// kind is a kind of request.
type kind struct {
	class, method, path string
	deadline            time.Duration
	bodyBytes           int
	headers             string
	// key is the API key, apiKey if it is empty.
	key string
	// prefix holds the parts of the prompt before the last, which is the request's own.
	prefix string
}

var (
	certKind = kind{class: "custody-cert", method: http.MethodPost, path: "/cert/2f", deadline: 10 * time.Second, bodyBytes: 17000,
		headers: "Model: m\r\nToken-Count: 1460,150\r\n", prefix: "5c1e07a2:60"}
	bookKind = kind{class: "visit-book", method: http.MethodPost, path: "/book/2f", deadline: 6 * time.Second, bodyBytes: 600}
	readKind = kind{class: "schedule-read", method: http.MethodGet, path: "/read/2f", deadline: 6 * time.Second}
)

// connection is a client's connection to a gateway.
type connection struct {
	conn   net.Conn
	reader *bufio.Reader
	used   bool
}

// client sends requests one after another over a kept connection until ctx ends.
func (b *bed) client(ctx context.Context, wg *sync.WaitGroup, g *gateway, k kind, pause time.Duration) {
	defer wg.Done()
	sleep(ctx, rand.N(time.Second))
	var c *connection
	for ctx.Err() == nil {
		if c == nil {
			conn, err := net.DialTimeout("tcp", g.front, time.Second)
			if err != nil {
				sleep(ctx, 200*time.Millisecond)
				continue
			}
			c = &connection{conn: conn, reader: bufio.NewReader(conn)}
		}
		res := b.send(c, g, k)
		if res.err != nil || res.status == 0 || !c.used {
			_ = c.conn.Close()
			c = nil
		}
		if res.err == nil && (res.status == http.StatusServiceUnavailable || res.status == http.StatusTooManyRequests) {
			sleep(ctx, 300*time.Millisecond)
		}
		sleep(ctx, pause/2+rand.N(pause))
	}
	if c != nil {
		_ = c.conn.Close()
	}
}

// liveGateways returns the gateways whose machines have not been lost.
func (b *bed) liveGateways() []*gateway {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gateways[:len(b.gateways)-b.lostGateways]
}

// loseGateways takes the power of all gateways but the first few.
func (b *bed) loseGateways(left int) {
	b.mu.Lock()
	lost := b.gateways[left:]
	b.lostGateways = len(lost)
	b.mu.Unlock()
	for _, g := range lost {
		go g.kill()
	}
}

// movingClient does as client, but connects to a gateway that lives.
func (b *bed) movingClient(ctx context.Context, wg *sync.WaitGroup, number int, k kind, pause time.Duration) {
	defer wg.Done()
	for ctx.Err() == nil {
		live := b.liveGateways()
		g := live[number%len(live)]
		until, stop := context.WithCancel(ctx)
		var one sync.WaitGroup
		one.Add(1)
		go b.client(until, &one, g, k, pause)
		for until.Err() == nil && len(b.liveGateways()) == len(live) {
			sleep(until, 100*time.Millisecond)
		}
		stop()
		one.Wait()
	}
}

// send sends one request and reads its answer; c.used is false afterwards if the connection ends.
func (b *bed) send(c *connection, g *gateway, k kind) result {
	id := fmt.Sprintf("%016x", uint64(b.nextID.Add(1))*0x9e3779b97f4a7c15)
	res := result{id: id, class: k.class, method: k.method, kept: c.used, gateway: g.name, sentAt: time.Now(), deadline: k.deadline}
	key := cmp.Or(k.key, apiKey)
	promptHeader := ""
	if k.headers != "" {
		promptHeader = fmt.Sprintf("Prompt-Prefix: %s,%s:1400\r\n", k.prefix, id[:8])
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: %d\r\n%s%s",
		k.method, k.path, host, headerRequestID, id, key, k.deadline.Milliseconds(), k.headers, promptHeader)
	if k.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", k.bodyBytes)
	}
	_ = c.conn.SetDeadline(time.Now().Add(k.deadline))
	_, err := io.WriteString(c.conn, head+"\r\n"+strings.Repeat("x", k.bodyBytes))
	res.sent = err == nil
	if err == nil {
		err = b.read(c, k, &res)
	}
	res.err, res.endedAt = err, time.Now()
	b.finish(res)
	return res
}

// read reads the answer.
func (b *bed) read(c *connection, k kind, res *result) error {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: k.method})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	res.status, res.seal, res.body = response.StatusCode, response.Header.Get("Response-Seal"), string(body)
	c.used = !response.Close
	return err
}

// finish records the end of a request.
func (b *bed) finish(res result) {
	b.mu.Lock()
	b.results = append(b.results, res)
	r := b.runs[res.id]
	runs, replica := 0, "-"
	if r != nil {
		runs, replica = r.count, r.replica
	}
	b.mu.Unlock()
	b.record("%s %s at %s, kept %t, sent %t: status %d, error %v, after %.3f s; ran %d times, last at %s",
		res.class, res.id, res.gateway, res.kept, res.sent, res.status, res.err, res.endedAt.Sub(res.sentAt).Seconds(), runs, replica)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
