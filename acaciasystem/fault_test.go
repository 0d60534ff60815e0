package acaciasystem

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciastandin"
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

// chaos disturbs a cluster at random until it is told to stop.
type chaos struct {
	cluster *cluster
	random  *rand.Rand
	proxies []*proxy
	faults  map[string]int
}

func (x *chaos) once() {
	c := x.cluster
	pause := time.Duration(200+x.random.IntN(1500)) * time.Millisecond
	agents := append(append([]*node(nil), c.engines...), c.plains...)
	agent := agents[x.random.IntN(len(agents))]
	entry := c.entries[x.random.IntN(len(c.entries))]
	switch x.random.IntN(7) {
	case 0:
		x.faults["freeze agent"]++
		agent.signal(c.t, syscall.SIGSTOP)
		time.Sleep(pause)
		agent.signal(c.t, syscall.SIGCONT)
	case 1:
		x.faults["kill agent"]++
		kill(c.t, agent.process)
		time.Sleep(pause)
		c.startNode(agent)
	case 2:
		x.faults["kill entry"]++
		kill(c.t, entry.process)
		c.startNode(entry)
	case 3:
		x.faults["freeze entry"]++
		entry.signal(c.t, syscall.SIGSTOP)
		time.Sleep(pause)
		entry.signal(c.t, syscall.SIGCONT)
	case 4:
		x.faults["log down"]++
		c.fault(c.platform, `{"down":true}`)
		time.Sleep(pause)
		c.fault(c.platform, `{}`)
	case 5:
		x.faults["log loses answers"]++
		c.fault(c.platform, `{"lose_answers":true}`)
		time.Sleep(pause)
		c.fault(c.platform, `{}`)
	default:
		x.faults["cut"]++
		p := x.proxies[x.random.IntN(len(x.proxies))]
		p.hold(direction(x.random.IntN(2)))
		time.Sleep(pause / 2)
		p.cut()
		p.release()
	}
}

// fate is what callers were told of one key.
type fate struct {
	body     string
	answered bool
	notRun   bool
	codes    []string
}

// TestRandomFaultsLoseAndDoubleNothing lets callers repeat their keys through
// other entries while processes die and freeze, links break and the log fails.
func TestRandomFaultsLoseAndDoubleNothing(t *testing.T) {
	t.Parallel()
	const (
		callers = 10
		length  = 25 * time.Second
		tries   = 6
	)
	c := newCluster(t, 3, 2, 2)
	x := &chaos{cluster: c, random: rand.New(rand.NewPCG(7, 7)), faults: map[string]int{}}
	for _, n := range append(append([]*node(nil), c.engines...), c.plains...) {
		x.proxies = append(x.proxies, c.interpose(n))
	}
	time.Sleep(time.Second)
	end := time.Now().Add(length)
	var mu sync.Mutex
	var fates []fate
	var group sync.WaitGroup
	for caller := range callers {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := 0; time.Now().Before(end); i++ {
				f := c.persist(caller, i, tries)
				mu.Lock()
				fates = append(fates, f)
				mu.Unlock()
			}
		}()
	}
	for time.Now().Before(end) {
		x.once()
		time.Sleep(300 * time.Millisecond)
	}
	group.Wait()
	answered, unknown := 0, 0
	runs := c.runs(c.plains)
	for _, f := range fates {
		assert.Check(t, runs[f.body] <= 1, "%s ran %d times: %v", f.body, runs[f.body], f.codes)
		switch {
		case f.answered:
			answered++
			assert.Check(t, runs[f.body] == 1, "%s was answered but ran %d times: %v", f.body, runs[f.body], f.codes)
		case f.notRun:
			assert.Check(t, runs[f.body] == 0, "%s was told as not run but ran: %v", f.body, f.codes)
		default:
			unknown++
		}
	}
	t.Logf("faults %v; %d keys, %d answered, %d unknown", x.faults, len(fates), answered, unknown)
	assert.Check(t, answered > len(fates)/2)
	checkEvents(t, c.events())
}

// persist sends one key until it is answered or the tries are used up, each time
// through the next entry.
func (c *cluster) persist(caller, index, tries int) fate {
	f := fate{body: fmt.Sprintf("booking %d of caller %d", index, caller), notRun: true}
	path := "/file?delay=50ms"
	for try := range tries {
		entry := c.entries[(caller+index+try)%len(c.entries)]
		got := c.call(entry, http.MethodPost, "/services/archiv"+path, f.body, key(f.body))
		f.codes = append(f.codes, fmt.Sprintf("%d/%s", got.status, got.code))
		if got.err == nil && got.status == http.StatusOK {
			f.answered = got.body == acaciastandin.PlainAnswer(http.MethodPost, path, f.body, 100)
			if !f.answered {
				f.codes = append(f.codes, "wrong answer")
			}
			return f
		}
		if got.err != nil || !strings.HasPrefix(got.code, "2") {
			f.notRun = false
		}
		time.Sleep(500 * time.Millisecond)
	}
	return f
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
