package acaciasystem

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute/acaciastandin"
)

const (
	// longPromptBytes take the slowest engine of the stand-in more than 2 s.
	longPromptBytes = 60_000
	slowdown        = `{"slowdown": 200}`
	ownSpeed        = `{"slowdown": 1}`
)

// newRepeatableCluster starts a system in which notes are repeatable and surveys are
// not.
func newRepeatableCluster(t *testing.T, engines int) *cluster {
	t.Helper()
	c := newCluster(t, 1, engines, 0)
	c.publish(strings.Replace(targetsText, "name = \"note\"\n", "name = \"note\"\nrepeatable = true\n", 1) + organisationText("hoehle"))
	// A publication is in force everywhere within 4 s.
	time.Sleep(4 * time.Second)
	return c
}

// hasMetric reports whether a process's metrics hold a line.
func (c *cluster) hasMetric(n *node, line string) bool {
	response, err := c.client.Get("http://" + n.vm.Address + "/metrics")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return err == nil && strings.Contains(string(data), line)
}

func (c *cluster) send(class, prompt string, tokens int) <-chan answer {
	got := make(chan answer, 1)
	go func() {
		got <- c.call(c.entries[0], http.MethodPost, "/v1/completions", modelBody(prompt, tokens), map[string]string{"Acacia-Class": class})
	}()
	return got
}

func TestSlowEndpointGivesARepeatableRequestToAnother(t *testing.T) {
	t.Parallel()
	c := newRepeatableCluster(t, 3)
	slow, others := c.engines[2], c.engines[:2]
	for _, n := range others {
		n.signal(t, syscall.SIGSTOP)
	}
	decoding := c.send("survey", "decodes", 400)
	waitFor(t, func() bool { return len(c.runs(c.engines)) == 1 })
	time.Sleep(500 * time.Millisecond)
	note, survey := strings.Repeat("note ", longPromptBytes/5), strings.Repeat("log ", longPromptBytes/4)
	repeated := c.send("note", note, 5)
	waitFor(t, func() bool { return len(c.runs(c.engines)) == 2 })
	c.fault(slow.endpointAddress, slowdown)
	once := c.send("survey", survey, 5)
	waitFor(t, func() bool { return c.hasMetric(slow, `acaciaroute_taken_back_total{class="note"} 1`) })
	for _, n := range others {
		n.signal(t, syscall.SIGCONT)
	}
	wantModel(t, <-repeated, note, 5)
	c.fault(slow.endpointAddress, ownSpeed)
	wantModel(t, <-once, survey, 5)
	wantModel(t, <-decoding, "decodes", 400)
	assert.Check(t, !c.hasMetric(slow, `acaciaroute_taken_back_total{class="survey"}`))
	total := 0
	for _, count := range c.runs(c.engines) {
		total += count
	}
	assert.Equal(t, total, 4, "the note runs twice, each survey once")
	checkEvents(t, c.events())
}

func TestRepeatableRequestOutlivesItsEndpoint(t *testing.T) {
	t.Parallel()
	c := newRepeatableCluster(t, 2)
	first, other := c.engines[0], c.engines[1]
	other.signal(t, syscall.SIGSTOP)
	c.fault(first.endpointAddress, slowdown)
	note := strings.Repeat("note ", longPromptBytes/5)
	repeated := c.send("note", note, 5)
	waitFor(t, func() bool { return len(c.runs(c.engines)) == 1 })
	kill(t, first.endpoint)
	kill(t, first.process)
	other.signal(t, syscall.SIGCONT)
	wantModel(t, <-repeated, note, 5)
	checkEvents(t, c.events())
}

// Content that is suspect already runs alone at once, and not again: one more death.
func TestRepeatablePoisonKillsTwoEnginesAtMost(t *testing.T) {
	t.Parallel()
	const mostDeaths = 2
	for name, first := range map[string]map[string]string{"unknown content": nil, "suspect content": key("once")} {
		t.Run(name, func(t *testing.T) {
			c := newRepeatableCluster(t, 3)
			for try := range 3 {
				header := first
				if try > 0 {
					header = nil
				}
				got := c.call(c.entries[0], http.MethodPost, "/v1/completions", modelBody(acaciastandin.Poison, 5), header)
				t.Logf("%d %s, %d engines died", got.status, got.code, c.crashes())
				if try == 0 && first == nil {
					// The repeat once went back to the agent that had run it, which refused it.
					assert.Equal(t, c.crashes(), mostDeaths, "the request did not run once more")
				}
				assert.Check(t, !strings.Contains(got.body, "[DONE]"), "a whole answer")
				assert.Check(t, !strings.Contains(got.body, `"not_run":true`) || got.code == "2009", "%d %s %s", got.status, got.code, got.body)
				time.Sleep(1500 * time.Millisecond)
			}
			assert.Check(t, c.crashes() <= mostDeaths, "%d engines died", c.crashes())
			checkEvents(t, c.events())
		})
	}
}

// Such a request was once told "not run" by the search for another place.
func TestSafeRequestThatBeganIsNotToldNotRun(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 0, 1)
	only := c.plains[0]
	got := make(chan answer, 1)
	go func() {
		got <- c.call(c.entries[0], http.MethodGet, "/services/archiv/plan?delay=20s", "", map[string]string{"Acacia-Deadline": "8s"})
	}()
	waitFor(t, func() bool { return len(c.runs(c.plains)) == 1 })
	kill(t, only.endpoint)
	kill(t, only.process)
	told := <-got
	assert.NilError(t, told.err)
	assert.Check(t, told.code[0] == '3' && !strings.Contains(told.body, `"not_run":true`), "%s %s", told.code, told.body)
	checkEvents(t, c.events())
}
