package acaciasystem

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
)

func TestAnswerGoesOnAfterACutBetweenEntryAndAgent(t *testing.T) {
	t.Parallel()
	const tokens = 300
	c := newCluster(t, 1, 1, 0)
	p := c.interpose(c.engines[0])
	time.Sleep(2 * time.Second)
	answers := make(chan answer, 4)
	for i := range cap(answers) {
		go func() {
			answers <- c.call(c.entries[0], http.MethodPost, "/v1/completions", modelBody(fmt.Sprint("cut ", i), tokens), nil)
		}()
	}
	waitFor(t, func() bool { return len(c.runs(c.engines)) == cap(answers) })
	for range 3 {
		time.Sleep(200 * time.Millisecond)
		p.cut()
	}
	for range cap(answers) {
		got := <-answers
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
		text, err := answerText(got.body, true)
		assert.NilError(t, err)
		assert.Equal(t, len(strings.Fields(text)), tokens)
	}
	assert.Equal(t, len(c.runs(c.engines)), cap(answers))
	checkEvents(t, c.events())
}

func TestAnswerSentIntoADeadConnectionIsNotLost(t *testing.T) {
	t.Parallel()
	const tokens = 300
	c := newCluster(t, 1, 1, 0)
	p := c.interpose(c.engines[0])
	time.Sleep(2 * time.Second)
	got := make(chan answer, 1)
	go func() {
		got <- c.call(c.entries[0], http.MethodPost, "/v1/completions", modelBody("dead", tokens), nil)
	}()
	waitFor(t, func() bool { return len(c.runs(c.engines)) == 1 })
	time.Sleep(100 * time.Millisecond)
	p.hold(toEntry)
	time.Sleep(300 * time.Millisecond)
	p.cut()
	p.release()
	whole := <-got
	assert.NilError(t, whole.err)
	assert.Equal(t, whole.status, http.StatusOK)
	text, err := answerText(whole.body, true)
	assert.NilError(t, err)
	assert.Equal(t, len(strings.Fields(text)), tokens)
	assert.Equal(t, len(c.runs(c.engines)), 1)
	checkEvents(t, c.events())
}

func TestOneWayCutIsNotTakenForNotRun(t *testing.T) {
	t.Parallel()
	for name, way := range map[string]direction{"answers are lost": toEntry, "requests are lost": toAgent} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, 1, 1)
			p := c.interpose(c.plains[0])
			time.Sleep(2 * time.Second)
			got := make(chan answer, 1)
			go func() {
				got <- c.call(c.entries[0], http.MethodPost, "/services/archiv/file?delay=2s", "drawing", nil)
			}()
			waitFor(t, func() bool { return c.runs(c.plains)["drawing"] == 1 })
			p.hold(way)
			held := time.Now()
			told := <-got
			// 10 s until the connection counts as dead, 12 s of looking for the run.
			assert.Check(t, time.Since(held) < 26*time.Second, "told after %s", time.Since(held))
			assert.NilError(t, told.err)
			assert.Check(t, told.status == http.StatusOK || told.code == "3001", "%d %s", told.status, told.code)
			p.release()
			assert.Equal(t, c.runs(c.plains)["drawing"], 1)
		})
	}
}

func TestOtherRegionServesUntilTheLinkIsCut(t *testing.T) {
	t.Parallel()
	const patience = 2 * time.Second
	c := newCluster(t, 1, 1, 0)
	far := c.engines[0]
	far.vm.Region = "west"
	p := c.interpose(far)
	time.Sleep(2 * time.Second)
	wantModel(t, c.call(c.entries[0], http.MethodPost, "/v1/completions", modelBody("far", 5), nil), "far", 5)
	response, err := c.client.Get("http://" + c.entries[0].vm.Address + "/metrics")
	assert.NilError(t, err)
	metrics, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Check(t, strings.Contains(string(metrics), `acaciaroute_region_link_bytes_total{class="note"}`))
	p.hold(toAgent)
	p.hold(toEntry)
	began := time.Now()
	got := c.call(c.entries[0], http.MethodPost, "/v1/completions", modelBody("cut", 5), map[string]string{"Acacia-Deadline": patience.String()})
	assert.Equal(t, got.code, "2002", got.body)
	assert.Check(t, got.retry != "")
	assert.Check(t, time.Since(began) < patience+time.Second, "told after %s", time.Since(began))
	p.cut()
	p.release()
	wantModel(t, c.call(c.entries[0], http.MethodPost, "/v1/completions", modelBody("back", 5), nil), "back", 5)
	assert.Equal(t, len(c.runs(c.engines)), 2)
}

// Streams that bring nothing for longer than peers are patient carry signs of life: the
// first calls are quiet while they run, the last one while it waits for a place.
func TestQuietStreamsAreNotGivenUp(t *testing.T) {
	t.Parallel()
	const (
		limit = 32
		delay = "11s"
	)
	c := newCluster(t, 1, 0, 1)
	answers := make(chan answer, limit+1)
	for i := range cap(answers) {
		go func() {
			answers <- c.call(c.entries[0], http.MethodPost, "/services/archiv/file?delay="+delay, fmt.Sprint("drawing ", i), nil)
		}()
	}
	for range cap(answers) {
		got := <-answers
		assert.NilError(t, got.err)
		assert.Check(t, got.status == http.StatusOK, "%d %s", got.status, got.body)
	}
	assert.Equal(t, len(c.runs(c.plains)), limit+1)
	checkEvents(t, c.events())
}

// A caller that reads nothing for a while once had its answer's stream taken for dead.
func TestSlowCallerIsNotTakenForASilentAgent(t *testing.T) {
	t.Parallel()
	const (
		size = 30_000_000
		rest = 12 * time.Second
	)
	c := newCluster(t, 1, 0, 1)
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/services/archiv/plan?size=%d", c.entries[0].listen, size), nil)
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+keyOf("hoehle"))
	response, err := c.client.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	time.Sleep(rest)
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(data), size)
	for _, e := range c.events() {
		assert.Check(t, e.Kind != acaciaevent.AnswerResumed, "the stream was given up")
	}
}
