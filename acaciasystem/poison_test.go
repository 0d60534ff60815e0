package acaciasystem

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute/acaciastandin"
)

// crashCount returns how often poison has crashed the engines, all engines together.
func (c *cluster) crashCount() int {
	c.t.Helper()
	total := 0
	for _, n := range c.engines {
		response, err := c.client.Get("http://" + n.endpointAddr + "/crashes")
		assert.NilError(c.t, err)
		var count int
		assert.NilError(c.t, json.NewDecoder(response.Body).Decode(&count))
		assert.NilError(c.t, response.Body.Close())
		total += count
	}
	return total
}

func TestPoisonCrashesAtMostTwoEngines(t *testing.T) {
	t.Parallel()
	const (
		harmlessRequests = 3
		maxCrashes       = 2
	)
	c := newCluster(t, 2, 3, 0)
	answers := make(chan answer, harmlessRequests)
	for i := range harmlessRequests {
		go func() {
			answers <- c.sendRequest(c.entries[i%2], http.MethodPost, "/v1/completions", modelBody(fmt.Sprint("log ", i), 400), nil)
		}()
	}
	waitFor(t, func() bool { return len(c.runCounts(c.engines)) == harmlessRequests })
	poison := modelBody(acaciastandin.PoisonMarker, 5)
	var last answer
	for attempt := range 6 {
		last = c.sendRequest(c.entries[attempt%2], http.MethodPost, "/v1/completions", poison, withKey(fmt.Sprint("attempt ", attempt)))
		t.Logf("attempt %d: %d %s %v", attempt, last.status, last.code, last.err)
		time.Sleep(1500 * time.Millisecond)
	}
	assert.Equal(t, last.code, "2009", last.body)
	// The run of the first key did begin, so its retry must not be reported as not run.
	first := c.sendRequest(c.entries[1], http.MethodPost, "/v1/completions", poison, withKey("attempt 0"))
	assert.Check(t, first.code != "2009" && !strings.Contains(first.body, `"not_run":true`), "%d %s %s", first.status, first.code, first.body)
	assert.Check(t, c.crashCount() <= maxCrashes, "%d engines crashed", c.crashCount())
	for range harmlessRequests {
		<-answers
	}
	// The harmless requests that ran beside the poison run alone once and then as before.
	for i := range harmlessRequests {
		for range 2 {
			got := c.sendRequest(c.entries[i%2], http.MethodPost, "/v1/completions", modelBody(fmt.Sprint("log ", i), 400), nil)
			checkModelAnswer(t, got, fmt.Sprint("log ", i), 400)
		}
	}
	checkInvariants(t, c.events())
}

// Prompts that share the beginning that crashes engines, and nothing else, must not crash one
// engine after another, as they did where gateways call the endpoints.
func TestPromptsThatShareCrashingBeginningAreRefused(t *testing.T) {
	t.Parallel()
	const (
		prompts    = 8
		maxCrashes = 5
	)
	c := newCluster(t, 2, 3, 0)
	beginning := acaciastandin.PoisonMarker + strings.Repeat(" the same beginning", 60)
	for i := range prompts {
		got := c.sendRequest(c.entries[i%2], http.MethodPost, "/v1/completions", modelBody(fmt.Sprint(beginning, " and the end ", i), 5), nil)
		t.Logf("prompt %d: %d %s %v", i, got.status, got.code, got.err)
		time.Sleep(1500 * time.Millisecond)
	}
	assert.Check(t, c.crashCount() <= maxCrashes, "%d engines crashed", c.crashCount())
}
