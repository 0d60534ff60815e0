package acaciasystem

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
	acaciaplatformstandin "github.com/acaciaroute/acaciaroute/platform/standin"
)

type (
	// fleet is a set of gateway processes with a store and endpoints that run in the test.
	fleet struct {
		t         *testing.T
		dir       string
		store     *acaciaplatformstandin.Store
		storeAddr string
		gateways  []*gatewayNode
		endpoints []*endpointNode
		version   atomic.Int64
		// adjust changes the text of settings files and configurations; nil for no change.
		adjust func(text []byte) []byte
	}

	// gatewayNode is one gateway process with a proxy between it and the store.
	gatewayNode struct {
		fleet      *fleet
		name       string
		ip         string
		storeProxy *proxy

		mu      sync.Mutex
		process *exec.Cmd
	}

	// endpointNode is one endpoint with a proxy between it and the gateways.
	endpointNode struct {
		fleet *fleet
		proxy *proxy

		mu            sync.Mutex
		id            string
		version       string
		registrations int64
		// down reports whether the endpoint's process has ended, so that it writes no registration.
		down bool
		// runCounts holds the number of runs of each request ID.
		runCounts map[string]int
		// failsRequests makes the endpoint answer 500; dropsAnswers makes it run requests and
		// close the connection without an answer.
		failsRequests bool
		dropsAnswers  bool
		// crashingSegment is the prompt segment that crashes the endpoint, if not empty, after crashingEvents events of a
		// stream.
		crashingSegment string
		crashingEvents  int
		// crashes holds the times of the crashes, crashingRuns those at which a request with the
		// segment came.
		crashes, crashingRuns []time.Time
		// runTime is how long a run takes.
		runTime time.Duration
	}
)

const (
	gatewayPort         = 8221
	readyPort           = 8224
	streamEventCount    = 8
	streamEventInterval = 5 * time.Millisecond
	defaultRunTime      = 10 * time.Millisecond
	downTime            = 500 * time.Millisecond
	// versionStep is the step between versions of the configuration.
	versionStep = 3
)

var fleetCount atomic.Int64

// callerClient has a transport of its own: the end of any httptest.Server closes idle connections of
// the default one, and now and then a request of a test that runs in parallel fails by that.
var callerClient = &http.Client{Transport: &http.Transport{}}

// newFleet starts gateways and endpoints and waits until all gateways are ready.
func newFleet(t *testing.T, gateways, endpoints int) *fleet {
	t.Helper()
	return newAdjustedFleet(t, gateways, endpoints, nil)
}

// newAdjustedFleet does the same with changed settings files and configurations.
func newAdjustedFleet(t *testing.T, gateways, endpoints int, adjust func(text []byte) []byte) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), store: acaciaplatformstandin.NewStore(), adjust: adjust}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	f.storeAddr = server.Listener.Addr().String()
	f.publishConfiguration()
	for range endpoints {
		f.addEndpoint()
	}
	fleetNumber, pid := fleetCount.Add(1), os.Getpid()
	ip := func(index int) string {
		return net.IPv4(127, byte(1+(int(fleetNumber)*16+index)%100), byte(pid>>8), byte(pid)).String()
	}
	for i := range gateways {
		g := &gatewayNode{fleet: f, name: fmt.Sprint("gateway-", i), ip: ip(i), storeProxy: newProxy(t, f.storeAddr)}
		text := acaciaplatformstandin.Settings(g.name, g.ip, ip(0), g.storeProxy.address, gatewayPort, readyPort)
		assert.NilError(t, os.WriteFile(g.settingsPath(), f.adjusted(text), 0o600))
		f.gateways = append(f.gateways, g)
		g.start()
	}
	t.Cleanup(f.close)
	for _, g := range f.gateways {
		waitFor(t, g.ready)
	}
	return f
}

// publishConfiguration stores the next version of the configuration, which differs from the
// previous one only in its version and one timeout.
func (f *fleet) publishConfiguration() {
	f.version.Add(1)
	f.repeatConfiguration()
}

// repeatConfiguration stores the newest version of the configuration again.
func (f *fleet) repeatConfiguration() {
	version := int(f.version.Load())
	f.store.PutConfiguration(f.adjusted(acaciaplatformstandin.Configuration(version*versionStep, 2000+version, 0)))
}

func (f *fleet) adjusted(text []byte) []byte {
	if f.adjust == nil {
		return text
	}
	return f.adjust(text)
}

// close kills all gateways and prints their logs if the test has failed.
func (f *fleet) close() {
	for _, g := range f.gateways {
		g.mu.Lock()
		_ = g.process.Process.Signal(syscall.SIGCONT)
		_ = g.process.Process.Kill()
		_ = g.process.Wait()
		g.mu.Unlock()
		if f.t.Failed() {
			data, _ := os.ReadFile(g.logPath())
			f.t.Logf("%s:\n%s", g.name, logTail(data))
			g.keepLog(data)
		}
	}
}

// keepLog writes the log to the directory for logs of failed tests, if there is one.
func (g *gatewayNode) keepLog(data []byte) {
	if *soakKeep == "" {
		return
	}
	dir := filepath.Join(*soakKeep, strings.ReplaceAll(g.fleet.t.Name(), "/", "-"))
	assert.Check(g.fleet.t, os.MkdirAll(dir, 0o700))
	assert.Check(g.fleet.t, os.WriteFile(filepath.Join(dir, g.name+".log"), data, 0o600))
}

func (g *gatewayNode) settingsPath() string { return filepath.Join(g.fleet.dir, g.name+".toml") }
func (g *gatewayNode) logPath() string      { return filepath.Join(g.fleet.dir, g.name+".log") }

// start starts the gateway process, which must not be running.
func (g *gatewayNode) start() {
	log, err := os.OpenFile(g.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(g.fleet.t, err)
	defer func() { _ = log.Close() }()
	command := exec.Command(filepath.Join(binaryDir, "acaciaroute"), "gateway")
	command.Env = append(os.Environ(), acaciaplatform.SettingsVariable+"="+g.settingsPath())
	command.Stdout, command.Stderr = log, log
	assert.NilError(g.fleet.t, command.Start())
	g.process = command
}

// restart ends the process with a signal and starts it again.
func (g *gatewayNode) restart(signal syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.process.Process.Signal(signal)
	// Wait returns an error for a killed process, as expected.
	_ = g.process.Wait()
	g.start()
}

// suspend suspends the process with SIGSTOP for a duration.
func (g *gatewayNode) suspend(duration time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.process.Process.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	_ = g.process.Process.Signal(syscall.SIGCONT)
}

func (g *gatewayNode) url(path string) string {
	return fmt.Sprintf("http://%s:%d%s", g.ip, gatewayPort, path)
}

func (g *gatewayNode) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/acaciaroute/ready", g.ip, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *fleet) addEndpoint() {
	e := newEndpointNode(f)
	server := httptest.NewServer(e)
	f.t.Cleanup(server.Close)
	e.proxy = newProxy(f.t, server.Listener.Addr().String())
	e.registerWithNewID()
	f.endpoints = append(f.endpoints, e)
}

func newEndpointNode(f *fleet) *endpointNode {
	return &endpointNode{fleet: f, version: acaciaplatformstandin.Version, runCounts: map[string]int{}, runTime: defaultRunTime}
}

// registerWithNewID removes the endpoint's registration from the store and registers it under
// a new ID.
func (e *endpointNode) registerWithNewID() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.replaceRegistration()
}

// replaceRegistration does so while mu is held.
func (e *endpointNode) replaceRegistration() {
	if e.id != "" {
		e.fleet.store.DeleteEndpoint(e.id)
	}
	e.registrations++
	e.id = fmt.Sprintf("i-%s-%d", e.proxy.address, e.registrations)
	e.putRegistration()
}

// register writes the endpoint's registration again, as its heartbeats do.
func (e *endpointNode) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.putRegistration()
}

// putRegistration writes the endpoint's registration; mu must be held.
func (e *endpointNode) putRegistration() {
	if e.down {
		return
	}
	assert.Check(e.fleet.t, e.fleet.store.PutEndpointVersion(e.id, e.proxy.address, e.version, 4, false, e.registrations))
}

// setFaults sets how the endpoint fails from now on.
func (e *endpointNode) setFaults(failsRequests, dropsAnswers bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failsRequests, e.dropsAnswers = failsRequests, dropsAnswers
}

// setRunTime sets how long a run takes from now on.
func (e *endpointNode) setRunTime(runTime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runTime = runTime
}

// ServeHTTP implements http.Handler: it runs a request as an endpoint does.
func (e *endpointNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(acaciaplatformstandin.HeaderRequestID)
	e.mu.Lock()
	if r.Header.Get(acaciaplatformstandin.HeaderEndpoint) != e.id {
		e.mu.Unlock()
		acaciaplatformstandin.RespondNotRun(w, http.StatusMisdirectedRequest)
		return
	}
	e.runCounts[id]++
	if e.crashingSegment != "" && strings.Contains(r.Header.Get(acaciaplatformstandin.HeaderPrompt), e.crashingSegment) {
		e.crashingRuns = append(e.crashingRuns, time.Now())
		events := e.crashingEvents
		e.mu.Unlock()
		if events > 0 {
			acaciaplatformstandin.SetResponseHeaders(w, r, "seal")
			e.writeStream(w, r, events)
		}
		e.crash()
		panic(http.ErrAbortHandler)
	}
	failsRequests, dropsAnswers, runTime := e.failsRequests, e.dropsAnswers, e.runTime
	e.mu.Unlock()
	acaciaplatformstandin.SetResponseHeaders(w, r, "seal")
	time.Sleep(runTime)
	switch {
	case dropsAnswers:
		panic(http.ErrAbortHandler)
	case failsRequests:
		w.WriteHeader(http.StatusInternalServerError)
	case strings.HasPrefix(r.URL.Path, "/stream/"):
		e.writeStream(w, r, streamEventCount)
	case strings.HasPrefix(r.URL.Path, longAnswerPath):
		writeLongAnswer(w)
	default:
		_, _ = fmt.Fprintf(w, "answer to %s of %d bytes", id, len(body))
	}
}

// crash lets the endpoint crash after runTime and start again, under a new ID, after downTime.
func (e *endpointNode) crash() {
	time.Sleep(e.runTime)
	e.mu.Lock()
	e.crashes = append(e.crashes, time.Now())
	e.mu.Unlock()
	e.proxy.refuse()
	e.proxy.closeConnections()
	time.AfterFunc(downTime, func() {
		// Another request may have crashed the endpoint meanwhile, so that it listens already.
		if e.proxy.listen() == nil {
			e.registerWithNewID()
		}
	})
}

// writeStream writes numbered events, after the one that Last-Event-Id names if it is sent, count of them at most.
func (e *endpointNode) writeStream(w http.ResponseWriter, r *http.Request, count int) {
	firstEvent := 1
	if _, err := fmt.Sscan(r.Header.Get("Last-Event-Id"), &firstEvent); err == nil {
		firstEvent++
	}
	for i := firstEvent; i <= min(streamEventCount, firstEvent+count-1); i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, r.Header.Get(acaciaplatformstandin.HeaderRequestID), i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(streamEventInterval)
	}
}

// runCounts returns the number of runs of each request ID at all endpoints together.
func (f *fleet) runCounts() map[string]int {
	total := map[string]int{}
	for _, e := range f.endpoints {
		e.mu.Lock()
		for id, n := range e.runCounts {
			total[id] += n
		}
		e.mu.Unlock()
	}
	return total
}
