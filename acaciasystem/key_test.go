package acaciasystem

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute/acaciastandin"
)

// withKey returns headers with an idempotency key.
func withKey(value string) map[string]string {
	return map[string]string{"Idempotency-Key": value}
}

func modelBody(prompt string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, modelName, prompt, tokens)
}

// checkModelAnswer checks that an answer is the complete answer of the model to a prompt.
func checkModelAnswer(t *testing.T, got answer, prompt string, tokens int) {
	t.Helper()
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK, got.body)
	text, err := answerText(got.body, true)
	assert.NilError(t, err)
	assert.Equal(t, text, acaciastandin.AnswerText([]byte(fmt.Sprintf("%q", prompt)), tokens))
}

// checkOneRunPerKey sends every key twice through each entry, all at the same time, and checks
// that each key runs once.
func checkOneRunPerKey(t *testing.T, c *cluster, keys int) {
	t.Helper()
	const sendsPerEntry = 2
	answers := make(chan answer, keys*sendsPerEntry*len(c.entries))
	for k := range keys {
		for _, entry := range c.entries {
			for range sendsPerEntry {
				go func() {
					answers <- c.sendRequest(entry, http.MethodPost, "/services/archiv/file?delay=100ms", fmt.Sprintf("drawing %d", k), withKey(fmt.Sprint(k)))
				}()
			}
		}
	}
	for range cap(answers) {
		got := <-answers
		assert.NilError(t, got.err)
		assert.Check(t, got.status == http.StatusOK, "%d %s", got.status, got.body)
	}
	for body, count := range c.runCounts(c.plainNodes) {
		assert.Check(t, count == 1, "%s ran %d times", body, count)
	}
}

func TestKeysAreClaimedWithoutTheLog(t *testing.T) {
	t.Parallel()
	const keys = 10
	c := newCluster(t, 3, 0, 3)
	c.setFault(c.platformAddr, `{"down":true}`)
	time.Sleep(3 * time.Second)
	checkOneRunPerKey(t, c, keys)
	// An agent that has just restarted may not remember a run, so the key stays undecided.
	killProcess(t, c.plainNodes[0].process)
	c.startNode(c.plainNodes[0])
	undecided := c.sendRequest(c.entries[0], http.MethodPost, "/services/archiv/file", "new drawing", withKey("new"))
	assert.Equal(t, undecided.code, "3006", undecided.body)
	assert.Check(t, strings.Contains(undecided.body, `"not_run":false`), undecided.body)
	// Once the log is back, all entries know the holder of each key.
	c.setFault(c.platformAddr, `{}`)
	waitFor(t, func() bool {
		return c.sendRequest(c.entries[0], http.MethodPost, "/services/archiv/file", "new drawing", withKey("new")).status == http.StatusOK
	})
	for i, entry := range c.entries {
		again := c.sendRequest(entry, http.MethodPost, "/services/archiv/file?delay=100ms", "drawing 3", withKey("3"))
		assert.Check(t, again.status == http.StatusOK || again.code == "3001", "entry %d: %d %s", i, again.status, again.code)
		other := c.sendRequest(entry, http.MethodPost, "/services/archiv/file?delay=100ms", "another", withKey("3"))
		assert.Equal(t, other.code, "1009", other.body)
	}
	assert.Equal(t, c.runCounts(c.plainNodes)["drawing 3"], 1)
	checkInvariants(t, c.events())
}

func TestConcurrentRequestsWithOneKeyRunOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 1, 3)
	checkOneRunPerKey(t, c, 20)
	late := c.sendRequest(c.entries[1], http.MethodPost, "/services/archiv/file?delay=100ms", "drawing 3", withKey("3"))
	assert.Equal(t, late.body, acaciastandin.PlainAnswer(http.MethodPost, "/file?delay=100ms", "drawing 3", 100))
	other := c.sendRequest(c.entries[2], http.MethodPost, "/services/archiv/file?delay=100ms", "another drawing", withKey("3"))
	assert.Equal(t, other.code, "1009", other.body)
	checkInvariants(t, c.events())
}

func TestAnswerSurvivesEntryFailure(t *testing.T) {
	t.Parallel()
	const tokens = 400
	c := newCluster(t, 2, 2, 0)
	firstAnswer := make(chan answer, 1)
	go func() {
		firstAnswer <- c.sendRequest(c.entries[0], http.MethodPost, "/v1/completions", modelBody("a week under ground", tokens), withKey("week"))
	}()
	waitFor(t, func() bool { return len(c.runCounts(c.engines)) == 1 })
	killProcess(t, c.entries[0].process)
	assert.Check(t, (<-firstAnswer).err != nil)
	again := c.sendRequest(c.entries[1], http.MethodPost, "/v1/completions", modelBody("a week under ground", tokens), withKey("week"))
	checkModelAnswer(t, again, "a week under ground", tokens)
	assert.Equal(t, len(c.runCounts(c.engines)), 1)
	checkInvariants(t, c.events())
}

func TestAgentFailureIsReportedAsUnknownOutcome(t *testing.T) {
	t.Parallel()
	const tokens = 2000
	c := newCluster(t, 2, 1, 0)
	got := make(chan answer, 1)
	body := strings.Replace(modelBody("plan", tokens), `"stream":true`, `"stream":false`, 1)
	go func() { got <- c.sendRequest(c.entries[0], http.MethodPost, "/v1/completions", body, withKey("plan")) }()
	waitFor(t, func() bool { return len(c.runCounts(c.engines)) == 1 })
	killProcess(t, c.engines[0].process)
	assert.Equal(t, (<-got).code, "3001")
	c.startNode(c.engines[0])
	retried := c.sendRequest(c.entries[1], http.MethodPost, "/v1/completions", body, withKey("plan"))
	assert.Equal(t, retried.code, "3001", retried.body)
	// Without the entry that claimed the key, no process remembers the run.
	killProcess(t, c.entries[0].process)
	retried = c.sendRequest(c.entries[1], http.MethodPost, "/v1/completions", body, withKey("plan"))
	assert.Equal(t, retried.code, "3001", retried.body)
	assert.Equal(t, len(c.runCounts(c.engines)), 1)
}

func TestSuspendedAgentCausesNoSecondRun(t *testing.T) {
	t.Parallel()
	const tokens = 150
	c := newCluster(t, 1, 2, 0)
	answers := make(chan answer, 8)
	for i := range cap(answers) {
		go func() {
			answers <- c.sendRequest(c.entries[0], http.MethodPost, "/v1/completions", modelBody(fmt.Sprint("log ", i), tokens), nil)
		}()
	}
	waitFor(t, func() bool { return len(c.runCounts(c.engines)) == cap(answers) })
	c.engines[0].sendSignal(t, syscall.SIGSTOP)
	during := c.sendRequest(c.entries[0], http.MethodPost, "/v1/completions", modelBody("during", tokens), nil)
	checkModelAnswer(t, during, "during", tokens)
	time.Sleep(2 * time.Second)
	c.engines[0].sendSignal(t, syscall.SIGCONT)
	for range cap(answers) {
		got := <-answers
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Check(t, strings.HasSuffix(got.body, "data: [DONE]\n\n"))
	}
	for id, count := range c.runCounts(c.engines) {
		assert.Check(t, count == 1, "%s ran %d times", id, count)
	}
	checkInvariants(t, c.events())
}
