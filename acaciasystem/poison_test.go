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

// crashes adds up how often poison has killed the engines.
func (c *cluster) crashes() int {
	c.t.Helper()
	total := 0
	for _, n := range c.engines {
		response, err := c.client.Get("http://" + n.endpointAddress + "/crashes")
		assert.NilError(c.t, err)
		var count int
		assert.NilError(c.t, json.NewDecoder(response.Body).Decode(&count))
		assert.NilError(c.t, response.Body.Close())
		total += count
	}
	return total
}

func TestPoisonKillsTwoEnginesAtMost(t *testing.T) {
	t.Parallel()
	const (
		innocents  = 3
		mostDeaths = 2
	)
	c := newCluster(t, 2, 3, 0)
	answers := make(chan answer, innocents)
	for i := range innocents {
		go func() {
			answers <- c.call(c.entries[i%2], http.MethodPost, "/v1/completions", modelBody(fmt.Sprint("log ", i), 400), nil)
		}()
	}
	waitFor(t, func() bool { return len(c.runs(c.engines)) == innocents })
	poison := modelBody(acaciastandin.Poison, 5)
	var last answer
	for try := range 6 {
		last = c.call(c.entries[try%2], http.MethodPost, "/v1/completions", poison, key(fmt.Sprint("try ", try)))
		t.Logf("try %d: %d %s %v", try, last.status, last.code, last.err)
		time.Sleep(1500 * time.Millisecond)
	}
	assert.Equal(t, last.code, "2009", last.body)
	// A repeat of the first key is about a run that did begin.
	first := c.call(c.entries[1], http.MethodPost, "/v1/completions", poison, key("try 0"))
	assert.Check(t, first.code != "2009" && !strings.Contains(first.body, `"not_run":true`), "%d %s %s", first.status, first.code, first.body)
	assert.Check(t, c.crashes() <= mostDeaths, "%d engines died", c.crashes())
	for range innocents {
		<-answers
	}
	// The innocent that ran beside the poison run alone once, and then as before.
	for i := range innocents {
		for range 2 {
			got := c.call(c.entries[i%2], http.MethodPost, "/v1/completions", modelBody(fmt.Sprint("log ", i), 400), nil)
			wantModel(t, got, fmt.Sprint("log ", i), 400)
		}
	}
	checkEvents(t, c.events())
}
