package acaciasystem

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
)

// load sends requests from several callers until it is stopped, and counts
// what went wrong. Callers use the ready entries, as behind the balancer.
type load struct {
	cluster *cluster
	stop    context.CancelFunc
	done    sync.WaitGroup

	mu       sync.Mutex
	answered int
	wrong    []string
}

func startLoad(c *cluster, callers int) *load {
	ctx, stop := context.WithCancel(context.Background())
	l := &load{cluster: c, stop: stop}
	for caller := range callers {
		l.done.Add(1)
		go func() {
			defer l.done.Done()
			for i := 0; ctx.Err() == nil; i++ {
				l.one(caller, i)
			}
		}()
	}
	return l
}

func (l *load) one(caller, index int) {
	entry := l.readyEntry(caller + index)
	prompt := fmt.Sprintf("caller %d log %d", caller, index)
	got := l.cluster.call(entry, http.MethodPost, "/v1/completions", modelBody(prompt, 30), nil)
	l.mu.Lock()
	defer l.mu.Unlock()
	if got.err != nil || got.status != http.StatusOK || !strings.HasSuffix(got.body, "data: [DONE]\n\n") {
		l.wrong = append(l.wrong, fmt.Sprintf("%s: %d %s %v %.200s", entry.vm.ID, got.status, got.code, got.err, got.body))
		return
	}
	l.answered++
}

func (l *load) readyEntry(from int) *node {
	entries := l.cluster.entries
	for i := range entries {
		entry := entries[(from+i)%len(entries)]
		if l.cluster.reachable("http://" + entry.listen + "/readyz") {
			return entry
		}
	}
	return entries[from%len(entries)]
}

func (l *load) finish(t *testing.T) {
	t.Helper()
	l.stop()
	l.done.Wait()
	t.Logf("answered %d", l.answered)
	assert.Check(t, l.answered > 50)
	for _, wrong := range l.wrong {
		t.Error(wrong)
	}
}

func TestRollingReplacementCutsNothing(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 3, 0)
	l := startLoad(c, 12)
	for _, n := range c.nodes() {
		stop(t, n.process)
		c.startNode(n)
		if n.vm.Role == acaciaroute.RoleEntry {
			waitFor(t, func() bool { return c.reachable("http://" + n.listen + "/readyz") })
		}
	}
	l.finish(t)
	for id, count := range c.runs(c.engines) {
		assert.Check(t, count == 1, "%s ran %d times", id, count)
	}
	checkEvents(t, c.events())
}

func TestLeavingEndpointGetsNothingNew(t *testing.T) {
	t.Parallel()
	const grace = 3 * time.Second
	c := newCluster(t, 1, 2, 0)
	l := startLoad(c, 8)
	time.Sleep(time.Second)
	leaving := c.engines[0]
	leaving.vm.State = acaciaroute.VMLeaving
	c.setVM(leaving.vm)
	left := time.Now()
	time.Sleep(2 * grace)
	l.finish(t)
	for _, e := range c.events() {
		if e.Kind == acaciaevent.RequestDispatched && e.Endpoint == leaving.vm.ID {
			assert.Check(t, e.Stamp.Time().Before(left.Add(grace)), "dispatched %s after leaving", e.Stamp.Time().Sub(left))
		}
	}
}

// A frozen agent does not know that its VM is leaving until it wakes. Entry and agent
// both keep new work away; that an entry alone does is tested with its chooser.
func TestLeavingEndpointWithAFrozenAgentGetsNothingNew(t *testing.T) {
	t.Parallel()
	const grace = 3 * time.Second
	c := newCluster(t, 1, 2, 0)
	leaving, staying := c.engines[0], c.engines[1]
	// The other engine is busy, so that requests wait at both agents.
	c.fault(staying.endpointAddress, `{"slowdown":40}`)
	l := startLoad(c, 60)
	time.Sleep(time.Second)
	leaving.signal(t, syscall.SIGSTOP)
	time.Sleep(500 * time.Millisecond)
	leaving.vm.State = acaciaroute.VMLeaving
	c.setVM(leaving.vm)
	left := time.Now()
	time.Sleep(grace + time.Second)
	c.fault(staying.endpointAddress, `{"slowdown":1}`)
	leaving.signal(t, syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	l.stop()
	l.done.Wait()
	assert.Check(t, l.answered > 50)
	for _, e := range c.events() {
		if e.Kind == acaciaevent.RequestDispatched && e.Endpoint == leaving.vm.ID {
			assert.Check(t, e.Stamp.Time().Before(left.Add(grace)), "dispatched %s after leaving", e.Stamp.Time().Sub(left))
		}
	}
}

func TestServingGoesOnWhileTheLogIsDown(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 2, 1)
	c.fault(c.platform, `{"down":true}`)
	l := startLoad(c, 6)
	time.Sleep(3 * time.Second)
	keyed := c.call(c.entries[0], http.MethodPost, "/services/archiv/file", "drawing", key("outage"))
	assert.Equal(t, keyed.status, http.StatusOK, keyed.body)
	// A process that starts in the outage learns the configuration from peers.
	kill(t, c.entries[1].process)
	c.startNode(c.entries[1])
	waitFor(t, func() bool { return c.reachable("http://" + c.entries[1].listen + "/readyz") })
	// It has not read the log, so it cannot know who holds a key.
	undecided := c.call(c.entries[1], http.MethodPost, "/services/archiv/file", "another", key("other"))
	assert.Equal(t, undecided.code, "3006", undecided.body)
	assert.Check(t, strings.Contains(undecided.body, `"not_run":false`), undecided.body)
	assert.Check(t, undecided.retry != "")
	c.fault(c.platform, `{}`)
	waitFor(t, func() bool {
		again := c.call(c.entries[1], http.MethodPost, "/services/archiv/file", "drawing", key("outage"))
		return again.status == http.StatusOK
	})
	assert.Equal(t, c.runs(c.plains)["drawing"], 1)
	l.stop()
	l.done.Wait()
	for _, wrong := range l.wrong {
		// The killed entry took its callers with it.
		if !strings.HasPrefix(wrong, "entry-1") {
			t.Error(wrong)
		}
	}
	checkEvents(t, c.events())
}

func TestPublishedTargetsAreInForceEverywhereWithinFourSeconds(t *testing.T) {
	t.Parallel()
	const budget = 4 * time.Second
	c := newCluster(t, 3, 3, 1)
	targets := targetsText + organisationText("hoehle") + organisationText("karst")
	for i := range 3 {
		began := time.Now()
		output := c.publish(targets + organisationText(fmt.Sprint("verein-", i)))
		assert.Check(t, strings.Contains(output, "in force at 7 of 7"), output)
		assert.Check(t, time.Since(began) < budget, "took %s", time.Since(began))
	}
	checkEvents(t, c.events())
}

// Callers keep using their open connections until the entry closes them with an answer;
// new ones would go elsewhere by the balancer.
func TestStopOfAnEntryBreaksNoOpenConnection(t *testing.T) {
	t.Parallel()
	const callers = 40
	c := newCluster(t, 1, 0, 2)
	entry := c.entries[0]
	failed := make(chan error, callers)
	begun := make(chan struct{}, callers)
	for caller := range callers {
		go func() {
			own := *c
			own.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: time.Minute}
			for i := 0; ; i++ {
				got := own.call(entry, http.MethodPost, "/services/archiv/file?delay=1ms", fmt.Sprint("drawing ", caller, i), nil)
				if got.err != nil || got.closing {
					failed <- got.err
					return
				}
				if i == 0 {
					begun <- struct{}{}
				}
				time.Sleep(time.Duration(caller%7) * time.Millisecond)
			}
		}()
	}
	for range callers {
		<-begun
	}
	stop(t, entry.process)
	for range callers {
		assert.Check(t, <-failed)
	}
}

// The list may call a VM leaving that stays, or still call one so whose process is new.
func TestVMThatIsLiveAgainServesAgain(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1, 0)
	engine, entry := c.engines[0], c.entries[0]
	ready := func() bool { return c.reachable("http://" + entry.listen + "/readyz") }
	list := func(state acaciaroute.VMState) {
		for _, n := range []*node{engine, entry} {
			n.vm.State = state
			c.setVM(n.vm)
		}
	}
	list(acaciaroute.VMLeaving)
	waitFor(t, func() bool { return !ready() && strings.Contains(c.log(engine), `"vm_leaving"`) })
	stop(t, engine.process)
	c.startNode(engine)
	waitFor(t, func() bool { return strings.Count(c.log(engine), `"vm_leaving"`) >= 2 })
	list(acaciaroute.VMLive)
	waitFor(t, ready)
	wantModel(t, c.call(entry, http.MethodPost, "/v1/completions", modelBody("again", 5), nil), "again", 5)
}
