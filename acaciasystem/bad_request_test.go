package acaciasystem

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBadRequestsGetErrorCodes(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1, 1)
	validBody := modelBody("log", 1)
	for name, test := range map[string]struct {
		method, path, body string
		header             map[string]string
		status             int
		code               string
	}{
		"missing API key":           {"POST", "/v1/completions", validBody, map[string]string{"Authorization": ""}, 401, "1002"},
		"unknown API key":           {"POST", "/v1/completions", validBody, map[string]string{"Authorization": "Bearer nobody"}, 401, "1002"},
		"unknown path":              {"GET", "/v2/none", "", nil, 404, "1006"},
		"unsupported method":        {"PUT", "/v1/completions", validBody, nil, 404, "1006"},
		"invalid JSON":              {"POST", "/v1/completions", "{", nil, 400, "1001"},
		"missing model":             {"POST", "/v1/completions", `{"prompt":"x"}`, nil, 400, "1001"},
		"missing prompt":            {"POST", "/v1/completions", `{"model":"passage-plan"}`, nil, 400, "1001"},
		"empty messages":            {"POST", "/v1/chat/completions", `{"model":"passage-plan","messages":[]}`, nil, 400, "1001"},
		"zero max_tokens":           {"POST", "/v1/completions", `{"model":"passage-plan","prompt":"x","max_tokens":0}`, nil, 400, "1001"},
		"unknown model":             {"POST", "/v1/completions", `{"model":"other","prompt":"x"}`, nil, 404, "1005"},
		"unknown service":           {"GET", "/services/other/x", "", nil, 404, "1006"},
		"model as a plain service":  {"GET", "/services/zeichner/x", "", nil, 404, "1006"},
		"unknown class":             {"POST", "/v1/completions", validBody, map[string]string{"Acacia-Class": "audit"}, 400, "1004"},
		"class without the service": {"GET", "/services/archiv/x", "", map[string]string{"Acacia-Class": "survey"}, 403, "1003"},
		"invalid deadline":          {"POST", "/v1/completions", validBody, map[string]string{"Acacia-Deadline": "soon"}, 400, "1008"},
		"idempotency key too long":  {"POST", "/v1/completions", validBody, withKey(strings.Repeat("k", 256)), 400, "1010"},
		"body too large":            {"POST", "/v1/completions", `{"model":"` + strings.Repeat("x", 2_000_000), nil, 413, "1007"},
		"TRACE method":              {"TRACE", "/services/archiv/x", "", nil, 405, "1011"},
		"impossible deadline": {"POST", "/v1/completions", modelBody(strings.Repeat("long log ", 50_000), 1), map[string]string{"Acacia-Deadline": "1ms"},
			503, "200"},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			got := c.sendRequest(c.entries[0], test.method, test.path, test.body, test.header)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, test.status, got.body)
			assert.Check(t, strings.HasPrefix(got.code, test.code), got.code)
			assert.Check(t, strings.Contains(got.body, `"not_run":true`), got.body)
			assert.Check(t, time.Since(start) < time.Second, "answered after %s", time.Since(start))
			if test.status == http.StatusServiceUnavailable {
				assert.Check(t, got.retryAfter != "")
			}
		})
	}
	t.Run("slow body", func(t *testing.T) {
		conn, err := net.Dial("tcp", c.entries[0].listenAddr)
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", apiKey("hoehle"))
		assert.NilError(t, err)
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
		answer, err := io.ReadAll(conn)
		assert.NilError(t, err)
		assert.Check(t, strings.Contains(string(answer), "Acacia-Code: 1012"), string(answer))
	})
	checkModelAnswer(t, c.sendRequest(c.entries[0], http.MethodPost, "/v1/completions", modelBody("still served", 5), nil), "still served", 5)
	models := c.sendRequest(c.entries[0], http.MethodGet, "/v1/models", "", nil)
	assert.Check(t, strings.Contains(models.body, `"id":"passage-plan"`), models.body)
	assert.Equal(t, len(c.runCounts(c.engines)), 1)
}
