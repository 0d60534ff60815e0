package acaciagateway

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	acaciaplatformstandin "github.com/acaciaroute/acaciaroute/platform/standin"
)

type (
	// statusTestbed is a testbed whose endpoints answer with any status, and never say that they have not run a
	// request.
	statusTestbed struct {
		*testbed
		runs    atomic.Int64
		respond atomic.Pointer[statusResponse]
	}

	statusResponse struct {
		status int
		body   string
	}
)

// onceRoute is a route for streams that can't be resumed.
const onceRoute = `{"name":"once","host":"` + acaciaplatformstandin.Host + `","pathPrefix":"/once/","routeType":"streaming","timeoutMs":5000,` +
	`"targetLatencyMs":400,"maxAttempts":1,"service":"` + acaciaplatformstandin.Service + `"}`

// repeatableRoutes tells of each kind of route whether its requests may run more than once.
var repeatableRoutes = map[string]bool{"/unsafe/": false, "/once/": false, "/safe/": true, "/stream/": true}

func newStatusTestbed(t *testing.T) *statusTestbed {
	s := &statusTestbed{}
	handler := func(w http.ResponseWriter, r *http.Request) {
		s.runs.Add(1)
		response := s.respond.Load()
		acaciaplatformstandin.SetResponseHeaders(w, r, "seal")
		w.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
		w.WriteHeader(response.status)
		_, _ = w.Write([]byte(response.body))
	}
	s.testbed = newTestbed(t, handler, handler)
	const configurationVersion = 2
	configuration := acaciaplatformstandin.Configuration(configurationVersion, 3000, 0)
	s.store.PutConfiguration(bytes.Replace(configuration, []byte(`"routes":[`), []byte(`"routes":[`+onceRoute+","), 1))
	waitFor(t, func() bool { return s.gateway.configurationVersion() == configurationVersion })
	return s
}

// Guards against telling the caller of a request that must not run twice that it hasn't run when it has: 408, 421, 429 and
// 503 promise that, but an endpoint's own say so only with a header. All other statuses are passed on.
func TestStatusOfARunPromisesNothing(t *testing.T) {
	s := newStatusTestbed(t)
	bodies := map[string]string{"no body": "", "short body": "busy", "long body": strings.Repeat("x", maxKeptBytes+1)}
	promises := map[int]bool{408: true, 421: true, 429: true, 503: true}
	number := 0
	for path, repeatable := range repeatableRoutes {
		for _, status := range []int{302, 400, 404, 408, 409, 421, 425, 429, 500, 502, 503, 504} {
			for name, body := range bodies {
				t.Run(fmt.Sprint(path, status, " ", name), func(t *testing.T) {
					number++
					s.respond.Store(&statusResponse{status, body})
					s.runs.Store(0)
					r := s.send(http.MethodPost, path, fmt.Sprint("r-", number), "")
					assert.NilError(t, r.err)
					assert.Check(t, repeatable || s.runs.Load() == 1, "%d runs", s.runs.Load())
					if promises[status] && !repeatable {
						assert.Equal(t, r.status, http.StatusBadGateway)
						assert.Equal(t, r.header.Get(acaciaplatformstandin.HeaderSignature), "")
						return
					}
					assert.Equal(t, r.status, status)
					assert.Equal(t, r.header.Get(acaciaplatformstandin.HeaderSignature), "seal")
					assert.Equal(t, len(r.body), len(body))
				})
			}
		}
	}
}
