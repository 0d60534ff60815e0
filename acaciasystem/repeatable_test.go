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
	// longPromptBytes is the size of a prompt that the slowest stand-in engine needs more
	// than 2 s to prefill.
	longPromptBytes  = 60_000
	slowdownFault    = `{"slowdown": 200}`
	normalSpeedFault = `{"slowdown": 1}`
)

// newRepeatableNotesCluster starts a cluster in which requests of class note are repeatable
// and those of class survey are not.
func newRepeatableNotesCluster(t *testing.T, engines int) *cluster {
	t.Helper()
	c := newCluster(t, 1, engines, 0)
	c.publishTargets(strings.Replace(targetsText, "name = \"note\"\n", "name = \"note\"\nrepeatable = true\n", 1) + organisationTable("hoehle"))
	// A publication is in force everywhere within 4 s.
	time.Sleep(4 * time.Second)
	return c
}

// hasMetricLine reports whether a process's metrics contain a line.
func (c *cluster) hasMetricLine(n *node, line string) bool {
	response, err := c.client.Get("http://" + n.vm.Address + "/metrics")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return err == nil && strings.Contains(string(data), line)
}

// startCompletion sends a completion request and returns the channel for its answer.
func (c *cluster) startCompletion(class, prompt string, tokens int) <-chan answer {
	answers := make(chan answer, 1)
	go func() {
		answers <- c.sendRequest(c.entries[0], http.MethodPost, "/v1/completions", modelBody(prompt, tokens), map[string]string{"Acacia-Class": class})
	}()
	return answers
}

func TestRepeatableRequestMovesFromSlowEndpoint(t *testing.T) {
	t.Parallel()
	c := newRepeatableNotesCluster(t, 3)
	slow, others := c.engines[2], c.engines[:2]
	for _, n := range others {
		n.sendSignal(t, syscall.SIGSTOP)
	}
	decodingAnswer := c.startCompletion("survey", "decodes", 400)
	waitFor(t, func() bool { return len(c.runCounts(c.engines)) == 1 })
	time.Sleep(500 * time.Millisecond)
	note, survey := strings.Repeat("note ", longPromptBytes/5), strings.Repeat("log ", longPromptBytes/4)
	noteAnswer := c.startCompletion("note", note, 5)
	waitFor(t, func() bool { return len(c.runCounts(c.engines)) == 2 })
	c.setFault(slow.endpointAddr, slowdownFault)
	surveyAnswer := c.startCompletion("survey", survey, 5)
	waitFor(t, func() bool { return c.hasMetricLine(slow, `acaciaroute_taken_back_total{class="note"} 1`) })
	for _, n := range others {
		n.sendSignal(t, syscall.SIGCONT)
	}
	checkModelAnswer(t, <-noteAnswer, note, 5)
	c.setFault(slow.endpointAddr, normalSpeedFault)
	checkModelAnswer(t, <-surveyAnswer, survey, 5)
	checkModelAnswer(t, <-decodingAnswer, "decodes", 400)
	assert.Check(t, !c.hasMetricLine(slow, `acaciaroute_taken_back_total{class="survey"}`))
	total := 0
	for _, count := range c.runCounts(c.engines) {
		total += count
	}
	assert.Equal(t, total, 4, "the note runs twice, each survey once")
	checkInvariants(t, c.events())
}

func TestRepeatableRequestRunsAgainAfterEndpointFailure(t *testing.T) {
	t.Parallel()
	c := newRepeatableNotesCluster(t, 2)
	first, other := c.engines[0], c.engines[1]
	other.sendSignal(t, syscall.SIGSTOP)
	c.setFault(first.endpointAddr, slowdownFault)
	note := strings.Repeat("note ", longPromptBytes/5)
	noteAnswer := c.startCompletion("note", note, 5)
	waitFor(t, func() bool { return len(c.runCounts(c.engines)) == 1 })
	killProcess(t, first.endpointProcess)
	killProcess(t, first.process)
	other.sendSignal(t, syscall.SIGCONT)
	checkModelAnswer(t, <-noteAnswer, note, 5)
	checkInvariants(t, c.events())
}

// Guards against a poison request that crashes one engine after another when it is retried.
// Content that is already suspect runs alone from its first run and is not retried, so it
// crashes only one more engine.
func TestRepeatablePoisonCrashesAtMostTwoEngines(t *testing.T) {
	t.Parallel()
	const maxCrashes = 2
	for name, firstHeader := range map[string]map[string]string{"unknown content": nil, "suspect content": withKey("once")} {
		t.Run(name, func(t *testing.T) {
			c := newRepeatableNotesCluster(t, 3)
			for attempt := range 3 {
				header := firstHeader
				if attempt > 0 {
					header = nil
				}
				got := c.sendRequest(c.entries[0], http.MethodPost, "/v1/completions", modelBody(acaciastandin.PoisonMarker, 5), header)
				t.Logf("%d %s, %d engines crashed", got.status, got.code, c.crashCount())
				if attempt == 0 && firstHeader == nil {
					// Guards against a retry that is sent to the agent that has run the
					// request already and therefore refuses it.
					assert.Equal(t, c.crashCount(), maxCrashes, "the request was not run a second time")
				}
				assert.Check(t, !strings.Contains(got.body, "[DONE]"), "the poison request got a complete answer")
				assert.Check(t, !strings.Contains(got.body, `"not_run":true`) || got.code == "2009", "%d %s %s", got.status, got.code, got.body)
				time.Sleep(1500 * time.Millisecond)
			}
			assert.Check(t, c.crashCount() <= maxCrashes, "%d engines crashed", c.crashCount())
			checkInvariants(t, c.events())
		})
	}
}

// Guards against a search for another endpoint that reports a request as not run although
// the request has begun to run.
func TestStartedSafeRequestIsNotReportedAsNotRun(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 0, 1)
	plainNode := c.plainNodes[0]
	answers := make(chan answer, 1)
	go func() {
		answers <- c.sendRequest(c.entries[0], http.MethodGet, "/services/archiv/plan?delay=20s", "", map[string]string{"Acacia-Deadline": "8s"})
	}()
	waitFor(t, func() bool { return len(c.runCounts(c.plainNodes)) == 1 })
	killProcess(t, plainNode.endpointProcess)
	killProcess(t, plainNode.process)
	got := <-answers
	assert.NilError(t, got.err)
	assert.Check(t, got.code[0] == '3' && !strings.Contains(got.body, `"not_run":true`), "%s %s", got.code, got.body)
	checkInvariants(t, c.events())
}
