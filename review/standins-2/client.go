package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client has got for a request; a zero status means none.
type answer struct {
	status     int
	seal       string
	retryAfter string
	body       []byte
	err        error
}

const (
	host       = "ficu95.example"
	apiKey     = "i9n73hh2b9wu3fexd9dn"
	deadline   = 6 * time.Second
	dialTime   = time.Second
	deadlineMS = int(deadline / time.Millisecond)
)

// configuration has a non-idempotent and an idempotent route for the service booking.
const configuration = `{"version":7,"routes":[
{"name":"visit-book","host":"` + host + `","pathPrefix":"/visit-book/","routeType":"non_idempotent","timeoutMs":3000,"targetLatencyMs":400,"priority":2,"service":"booking-app","maxAttempts":1,"public":false},
{"name":"schedule-read","host":"` + host + `","pathPrefix":"/schedule-read/","routeType":"idempotent","timeoutMs":3000,"targetLatencyMs":400,"priority":2,"service":"booking-app","maxAttempts":2,"public":false}],
"services":[{"name":"booking-app","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"hule930","apiKeys":["` + apiKey + `"],"priority":1,"unit":"token_count","plainTokens":200,"ratePerS":162160,"burst":162160}]}`

// request sends one request on a connection of its own and returns the answer.
func request(address, method, target, id, body string) answer {
	conn, err := net.DialTimeout("tcp", address, dialTime)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", method, target, host, apiKey, id, deadlineMS)
	if method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(conn, head+"\r\n"+body); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, seal: response.Header.Get("Response-Seal"), retryAfter: response.Header.Get("Retry-After"), body: data, err: err}
}
