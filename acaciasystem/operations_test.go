package acaciasystem

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// trace follows the steps of docs/OPERATIONS.md: from a request's ID and the processes'
// logs to the lines about it and around it.
func (c *cluster) trace(id string) string {
	c.t.Helper()
	arguments := []string{"timeline", "--request", id, "--context"}
	for _, n := range c.nodes() {
		arguments = append(arguments, "--file", filepath.Join(c.dir, n.vm.ID+".log"))
	}
	return c.tool(arguments...)
}

// wantLines wants lines of the time line that hold all words of one cause, in order, and
// that the page names each event among them.
func wantLines(t *testing.T, trace string, causes ...string) {
	t.Helper()
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	t.Log("\n" + trace)
	rest := strings.Split(trace, "\n")
	for _, cause := range causes {
		words := strings.Fields(cause)
		assert.Check(t, strings.Contains(string(page), words[0]), "the page does not name %s", words[0])
		found := false
		for !found && len(rest) > 0 {
			found = holdsAll(rest[0], words)
			rest = rest[1:]
		}
		assert.Check(t, found, "no line %q in order in\n%s", cause, trace)
	}
}

func holdsAll(line string, words []string) bool {
	for _, word := range words {
		if !strings.Contains(line, word) {
			return false
		}
	}
	return true
}

func TestRefusalUnderLoadIsExplainedByItsLines(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1, 0)
	engine := c.engines[0]
	running := c.send("rescue", "decodes", 200)
	waitFor(t, func() bool { return len(c.runs(c.engines)) == 1 })
	c.fault(engine.endpointAddress, slowdown)
	waitFor(t, func() bool { return strings.Contains(c.log(engine), `"endpoint_slowed"`) })
	header := map[string]string{"Acacia-Class": "note", "Acacia-Deadline": "1s"}
	refused := c.call(c.entries[0], http.MethodPost, "/v1/completions", modelBody(strings.Repeat("log ", 5000), 5), header)
	c.fault(engine.endpointAddress, ownSpeed)
	assert.Equal(t, refused.status, http.StatusServiceUnavailable, refused.body)
	assert.Check(t, strings.Contains(refused.body, refused.id))
	wantModel(t, <-running, "decodes", 200)
	wantLines(t, c.trace(refused.id),
		"endpoint_slowed engine-0 slowdown",
		"request_arrived note targets_version list_age",
		"reservation_queued engine-0 running",
		"reservation_hopeless engine-0 left expected_first",
		`request_shed "endpoints":1 "asked":1 retry_after`)
}

func TestUnknownOutcomeIsExplainedByItsLines(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1, 0)
	engine := c.engines[0]
	c.fault(engine.endpointAddress, slowdown)
	answers := make(chan answer, 1)
	body := strings.Replace(modelBody(strings.Repeat("log ", 10_000), 5), `"stream":true`, `"stream":false`, 1)
	go func() { answers <- c.call(c.entries[0], http.MethodPost, "/v1/completions", body, nil) }()
	waitFor(t, func() bool { return len(c.runs(c.engines)) == 1 })
	kill(t, engine.process)
	unknown := <-answers
	c.startNode(engine)
	assert.Equal(t, unknown.code, "3001", "%d %v %s", unknown.status, unknown.err, unknown.body)
	wantLines(t, c.trace(unknown.id),
		"request_accepted engine-0 asked",
		"request_dispatched engine-0",
		"outcome_unknown engine-0 3001 refused",
		"process_started engine-0")
}

func TestLateAnswerIsExplainedByItsLines(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1, 0)
	engine := c.engines[0]
	running := c.send("rescue", "decodes", 200)
	waitFor(t, func() bool { return len(c.runs(c.engines)) == 1 })
	late := c.send("survey", strings.Repeat("log ", 10_000), 5)
	waitFor(t, func() bool { return len(c.runs(c.engines)) == 2 })
	c.fault(engine.endpointAddress, slowdown)
	waitFor(t, func() bool { return strings.Contains(c.log(engine), `"endpoint_slowed"`) })
	time.Sleep(2 * time.Second)
	c.fault(engine.endpointAddress, ownSpeed)
	wantModel(t, <-running, "decodes", 200)
	got := <-late
	assert.Equal(t, got.status, http.StatusOK, got.body)
	trace := c.trace(got.id)
	wantLines(t, trace,
		"grant_given engine-0 waited left",
		"request_dispatched engine-0",
		"first_token engine-0 waited",
		"answer_delivered engine-0 first_byte")
	// Where processor time is short the engine may have turned slow before.
	wantLines(t, trace, "endpoint_slowed engine-0 slowdown", "first_token engine-0 waited")
}

// log returns what a process has written.
func (c *cluster) log(n *node) string {
	c.t.Helper()
	data, err := os.ReadFile(filepath.Join(c.dir, n.vm.ID+".log"))
	assert.NilError(c.t, err)
	return string(data)
}

// Nobody reads the entry's standard output, whose pipe holds 64 KiB, and then its reader
// goes away.
func TestReaderOfLogsThatStallsOrGoesBlocksNoRequest(t *testing.T) {
	t.Parallel()
	const requests = 400
	reader, writer, err := os.Pipe()
	assert.NilError(t, err)
	c := prepareCluster(t)
	c.stdout = map[string]*os.File{"entry-0": writer}
	c.start(1, 0, 1)
	assert.NilError(t, writer.Close())
	get := func() {
		for range requests {
			got := c.call(c.entries[0], http.MethodGet, "/services/archiv/plan", "", nil)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK, got.body)
		}
	}
	get()
	assert.NilError(t, reader.Close())
	get()
	stop(t, c.entries[0].process)
}
