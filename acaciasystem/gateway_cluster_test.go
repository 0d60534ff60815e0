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
	// fleet is gateways as separate processes before a store and endpoints of the test.
	fleet struct {
		t         *testing.T
		dir       string
		store     *acaciaplatformstandin.Store
		storeURL  string
		gateways  []*gatewayNode
		endpoints []*endpointNode
		version   atomic.Int64
	}

	// gatewayNode is one gateway with a proxy before the store.
	gatewayNode struct {
		fleet   *fleet
		name    string
		ip      string
		toStore *proxy

		mu      sync.Mutex
		process *exec.Cmd
	}

	// endpointNode is one endpoint behind a proxy.
	endpointNode struct {
		fleet *fleet
		proxy *proxy

		mu    sync.Mutex
		id    string
		birth int64
		// runs counts the runs of each request.
		runs map[string]int
		// failing makes it answer 500, losing drop its answers.
		failing bool
		losing  bool
		// work is how long a run takes.
		work time.Duration
	}
)

const (
	gatewayPort  = 8221
	readyPort    = 8224
	streamEvents = 8
	eventTime    = 5 * time.Millisecond
	workTime     = 10 * time.Millisecond
)

var fleets atomic.Int64

// newFleet starts gateways and endpoints and waits until all gateways are ready.
func newFleet(t *testing.T, gateways, endpoints int) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), store: acaciaplatformstandin.NewStore()}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	f.storeURL = server.Listener.Addr().String()
	f.publish()
	for range endpoints {
		f.addEndpoint()
	}
	number, pid := fleets.Add(1), os.Getpid()
	ip := func(index int) string {
		return net.IPv4(127, byte(1+(int(number)*16+index)%100), byte(pid>>8), byte(pid)).String()
	}
	for i := range gateways {
		g := &gatewayNode{fleet: f, name: fmt.Sprint("gateway-", i), ip: ip(i), toStore: newProxy(t, f.storeURL)}
		text := acaciaplatformstandin.Settings(g.name, g.ip, ip(0), g.toStore.address, gatewayPort, readyPort)
		assert.NilError(t, os.WriteFile(g.settings(), text, 0o600))
		f.gateways = append(f.gateways, g)
		g.start()
	}
	t.Cleanup(f.close)
	for _, g := range f.gateways {
		waitFor(t, g.ready)
	}
	return f
}

// publish writes the next version of the configuration; only a timeout changes.
func (f *fleet) publish() {
	version := int(f.version.Add(1))
	f.store.PutConfiguration(acaciaplatformstandin.Configuration(version*3, 2000+version, 0))
}

func (f *fleet) close() {
	for _, g := range f.gateways {
		g.mu.Lock()
		_ = g.process.Process.Signal(syscall.SIGCONT)
		_ = g.process.Process.Kill()
		_ = g.process.Wait()
		g.mu.Unlock()
		if f.t.Failed() {
			data, _ := os.ReadFile(g.log())
			f.t.Logf("%s:\n%s", g.name, tail(data))
		}
	}
}

func (g *gatewayNode) settings() string { return filepath.Join(g.fleet.dir, g.name+".toml") }
func (g *gatewayNode) log() string      { return filepath.Join(g.fleet.dir, g.name+".log") }

// start runs the program; it must not run already.
func (g *gatewayNode) start() {
	log, err := os.OpenFile(g.log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(g.fleet.t, err)
	defer func() { _ = log.Close() }()
	command := exec.Command(filepath.Join(binaries, "acaciaroute"), "gateway")
	command.Env = append(os.Environ(), acaciaplatform.SettingsVariable+"="+g.settings())
	command.Stdout, command.Stderr = log, log
	assert.NilError(g.fleet.t, command.Start())
	g.process = command
}

// restart ends the process by a signal and starts it again.
func (g *gatewayNode) restart(signal syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.process.Process.Signal(signal)
	// A killed process's exit is an error by design.
	_ = g.process.Wait()
	g.start()
}

// pause stops the process for a while.
func (g *gatewayNode) pause(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.process.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
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
	e := &endpointNode{fleet: f, runs: map[string]int{}, work: workTime}
	server := httptest.NewServer(e)
	f.t.Cleanup(server.Close)
	e.proxy = newProxy(f.t, server.Listener.Addr().String())
	e.replace()
	f.endpoints = append(f.endpoints, e)
}

// replace takes the endpoint off the list and enters it under a new ID.
func (e *endpointNode) replace() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.id != "" {
		e.fleet.store.DropEndpoint(e.id)
	}
	e.birth++
	e.id = fmt.Sprintf("i-%s-%d", e.proxy.address, e.birth)
	assert.Check(e.fleet.t, e.fleet.store.PutEndpoint(e.id, e.proxy.address, 4, false, e.birth))
}

// set changes how the endpoint fails.
func (e *endpointNode) set(failing, losing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failing, e.losing = failing, losing
}

// setWork changes how long a run takes.
func (e *endpointNode) setWork(work time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.work = work
}

// ServeHTTP implements http.Handler as an endpoint of the platform.
func (e *endpointNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(acaciaplatformstandin.HeaderRequestID)
	e.mu.Lock()
	if r.Header.Get(acaciaplatformstandin.HeaderEndpoint) != e.id {
		e.mu.Unlock()
		acaciaplatformstandin.RefuseUnrun(w, http.StatusMisdirectedRequest)
		return
	}
	e.runs[id]++
	failing, losing, work := e.failing, e.losing, e.work
	e.mu.Unlock()
	acaciaplatformstandin.Seal(w, r, "seal")
	time.Sleep(work)
	switch {
	case losing:
		panic(http.ErrAbortHandler)
	case failing:
		w.WriteHeader(http.StatusInternalServerError)
	case strings.HasPrefix(r.URL.Path, "/stream/"):
		e.stream(w, r)
	default:
		_, _ = fmt.Fprintf(w, "answer to %s of %d bytes", id, len(body))
	}
}

func (e *endpointNode) stream(w http.ResponseWriter, r *http.Request) {
	first := 1
	if _, err := fmt.Sscan(r.Header.Get("Last-Event-Id"), &first); err == nil {
		first++
	}
	for i := first; i <= streamEvents; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, r.Header.Get(acaciaplatformstandin.HeaderRequestID), i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventTime)
	}
}

// ran counts the runs of all requests at all endpoints.
func (f *fleet) ran() map[string]int {
	total := map[string]int{}
	for _, e := range f.endpoints {
		e.mu.Lock()
		for id, n := range e.runs {
			total[id] += n
		}
		e.mu.Unlock()
	}
	return total
}
