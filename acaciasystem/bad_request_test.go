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

func TestBadRequestsGetNumberedErrors(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1, 1)
	good := modelBody("log", 1)
	for name, test := range map[string]struct {
		method, path, body string
		header             map[string]string
		status             int
		code               string
	}{
		"no key":             {"POST", "/v1/completions", good, map[string]string{"Authorization": ""}, 401, "1002"},
		"wrong key":          {"POST", "/v1/completions", good, map[string]string{"Authorization": "Bearer nobody"}, 401, "1002"},
		"unknown path":       {"GET", "/v2/none", "", nil, 404, "1006"},
		"wrong method":       {"PUT", "/v1/completions", good, nil, 404, "1006"},
		"no JSON":            {"POST", "/v1/completions", "{", nil, 400, "1001"},
		"no model":           {"POST", "/v1/completions", `{"prompt":"x"}`, nil, 400, "1001"},
		"no prompt":          {"POST", "/v1/completions", `{"model":"passage-plan"}`, nil, 400, "1001"},
		"no messages":        {"POST", "/v1/chat/completions", `{"model":"passage-plan","messages":[]}`, nil, 400, "1001"},
		"no tokens":          {"POST", "/v1/completions", `{"model":"passage-plan","prompt":"x","max_tokens":0}`, nil, 400, "1001"},
		"unknown model":      {"POST", "/v1/completions", `{"model":"other","prompt":"x"}`, nil, 404, "1005"},
		"unknown service":    {"GET", "/services/other/x", "", nil, 404, "1006"},
		"model as a service": {"GET", "/services/zeichner/x", "", nil, 404, "1006"},
		"unknown class":      {"POST", "/v1/completions", good, map[string]string{"Acacia-Class": "audit"}, 400, "1004"},
		"class elsewhere":    {"GET", "/services/archiv/x", "", map[string]string{"Acacia-Class": "survey"}, 403, "1003"},
		"bad deadline":       {"POST", "/v1/completions", good, map[string]string{"Acacia-Deadline": "soon"}, 400, "1008"},
		"long key":           {"POST", "/v1/completions", good, key(strings.Repeat("k", 256)), 400, "1010"},
		"large body":         {"POST", "/v1/completions", `{"model":"` + strings.Repeat("x", 2_000_000), nil, 413, "1007"},
		"trace":              {"TRACE", "/services/archiv/x", "", nil, 405, "1011"},
		"impossible deadline": {"POST", "/v1/completions", modelBody(strings.Repeat("long log ", 50_000), 1), map[string]string{"Acacia-Deadline": "1ms"},
			503, "200"},
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			got := c.call(c.entries[0], test.method, test.path, test.body, test.header)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, test.status, got.body)
			assert.Check(t, strings.HasPrefix(got.code, test.code), got.code)
			assert.Check(t, strings.Contains(got.body, `"not_run":true`), got.body)
			assert.Check(t, time.Since(began) < time.Second, "told after %s", time.Since(began))
			if test.status == http.StatusServiceUnavailable {
				assert.Check(t, got.retry != "")
			}
		})
	}
	t.Run("slow body", func(t *testing.T) {
		conn, err := net.Dial("tcp", c.entries[0].listen)
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", keyOf("hoehle"))
		assert.NilError(t, err)
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
		answer, err := io.ReadAll(conn)
		assert.NilError(t, err)
		assert.Check(t, strings.Contains(string(answer), "Acacia-Code: 1012"), string(answer))
	})
	wantModel(t, c.call(c.entries[0], http.MethodPost, "/v1/completions", modelBody("still served", 5), nil), "still served", 5)
	models := c.call(c.entries[0], http.MethodGet, "/v1/models", "", nil)
	assert.Check(t, strings.Contains(models.body, `"id":"passage-plan"`), models.body)
	assert.Equal(t, len(c.runs(c.engines)), 1)
}
