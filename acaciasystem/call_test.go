package acaciasystem

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// answer is what a caller got.
type answer struct {
	status int
	code   string
	retry  string
	id     string
	// closing tells that the entry closes the connection after its answer.
	closing bool
	body    string
	err     error
}

// call sends one request to an entry.
func (c *cluster) call(entry *node, method, path, body string, header map[string]string) answer {
	request, err := http.NewRequest(method, "http://"+entry.listen+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	// Without a second copy of the body the HTTP client sends the request once.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+keyOf("hoehle"))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode,
		code:   response.Header.Get("Acacia-Code"),
		retry:  response.Header.Get("Retry-After"),
		id:     response.Header.Get("X-Request-Id"),

		closing: response.Close,
		body:    string(data),
		err:     err,
	}
}

func (c *cluster) reachable(url string) bool {
	response, err := c.client.Get(url)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func waitFor(t *testing.T, good func() bool) {
	t.Helper()
	waitLong(t, startupTime, good)
}

func waitLong(t *testing.T, limit time.Duration, good func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !good() {
		if time.Now().After(deadline) {
			t.Fatal("the condition did not become true in time")
		}
		time.Sleep(50 * time.Millisecond)
	}
}
