package acaciasystem

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciawire"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

type (
	// cluster is a system of separate processes.
	cluster struct {
		t        *testing.T
		dir      string
		platform string
		entries  []*node
		engines  []*node
		plains   []*node
		client   *http.Client
		// stdout is where the standard output of a VM's process goes, by the VM's ID, if
		// not to its log file.
		stdout map[string]*os.File
		// stopAt names the event at which the process of a VM stops, by the VM's ID.
		stopAt map[string]string
	}

	// node is a VM: a process of the system and, on endpoints, what it serves.
	node struct {
		vm              acaciaroute.VM
		listen          string
		endpointAddress string
		settings        string
		process         *exec.Cmd
		endpoint        *exec.Cmd
	}
)

const (
	modelName   = "passage-plan"
	startupTime = 15 * time.Second
	// firstPort and ephemeralPort bound the ports that tests give to programs.
	firstPort     = 10_000
	ephemeralPort = 32_768
	// minKeyedUptime is how long a new agent runs no requests with keys.
	minKeyedUptime = 3500 * time.Millisecond

	targetsText = `
[[service]]
name = "zeichner"
kind = "model"
models = ["passage-plan"]

[[service]]
name = "archiv"
kind = "plain"

[[class]]
name = "rescue"
services = ["zeichner", "archiv"]
yield_order = 3
served_share = 0.99
first_token = "20s"
token_gap = "200ms"
whole_time = "60s"

[[class]]
name = "note"
services = ["zeichner", "archiv"]
yield_order = 2
served_share = 0.9
first_token = "20s"
token_gap = "200ms"
whole_time = "60s"

[[class]]
name = "survey"
services = ["zeichner"]
yield_order = 1
served_share = 0.5
first_token = "30s"
whole_time = "120s"
`
)

var (
	binaries string
	// lastPort is the port that was given out last.
	lastPort atomic.Int64
)

func TestMain(m *testing.M) {
	if at := os.Getenv(stopVariable); at != "" {
		runStopping(at)
		return
	}
	dir, err := os.MkdirTemp("", "acaciasystem")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", dir, "../cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	binaries = dir
	// Tests that run at once are few processes each, which wait most of the time.
	_ = flag.Set("test.parallel", "20")
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func keyOf(organisation string) string {
	return "secret-of-" + organisation
}

func organisationText(name string) string {
	sum := sha256.Sum256([]byte(keyOf(name)))
	return fmt.Sprintf("\n[[organisation]]\nname = %q\nkey_hashes = [%q]\nclasses = [\"note\", \"rescue\", \"survey\"]\n", name, hex.EncodeToString(sum[:]))
}

// newCluster starts a system and waits until every entry is ready.
func newCluster(t *testing.T, entries, engines, plains int) *cluster {
	t.Helper()
	return newStoppingCluster(t, entries, engines, plains, nil)
}

// newStoppingCluster starts a system of which some processes stop at an event.
func newStoppingCluster(t *testing.T, entries, engines, plains int, stopAt map[string]string) *cluster {
	t.Helper()
	c := prepareCluster(t)
	c.stopAt = stopAt
	c.start(entries, engines, plains)
	return c
}

// prepareCluster returns a system of which nothing runs.
func prepareCluster(t *testing.T) *cluster {
	t.Helper()
	return &cluster{t: t, dir: t.TempDir(), client: &http.Client{Timeout: 2 * time.Minute}, platform: freeAddress(t)}
}

// start starts a system and waits until every entry is ready.
func (c *cluster) start(entries, engines, plains int) {
	t := c.t
	t.Helper()
	c.startProgram("platform", "acaciastandin", "platform", "--listen", c.platform)
	waitFor(t, func() bool { return c.reachable("http://" + c.platform + "/vms") })
	for i := range engines {
		c.engines = append(c.engines, c.addEndpoint("engine", i))
	}
	for i := range plains {
		c.plains = append(c.plains, c.addEndpoint("plain", i))
	}
	started := time.Now()
	for i := range entries {
		c.entries = append(c.entries, c.addEntry(i))
	}
	c.publish(targetsText + organisationText("hoehle") + organisationText("karst"))
	waitFor(t, func() bool {
		for _, entry := range c.entries {
			if !c.reachable("http://" + entry.listen + "/readyz") {
				return false
			}
		}
		return true
	})
	c.awaitStatus(func(reply *acaciawire.StatusReply) bool { return reply.ConfigurationVersion > 0 })
	time.Sleep(time.Until(started.Add(minKeyedUptime)))
}

func (c *cluster) addEntry(index int) *node {
	n := &node{listen: freeAddress(c.t)}
	n.vm = acaciaroute.VM{
		ID:         fmt.Sprintf("entry-%d", index),
		Role:       acaciaroute.RoleEntry,
		Address:    freeAddress(c.t),
		DataCentre: "ost-wien",
		Region:     "ost",
		State:      acaciaroute.VMLive,
	}
	c.writeSettings(n, fmt.Sprintf("[entry]\nlisten = %q\nmax_body_bytes = 1000000\nbody_timeout = \"2s\"\n", n.listen))
	c.startNode(n)
	c.setVM(n.vm)
	return n
}

func (c *cluster) addEndpoint(kind string, index int) *node {
	n := &node{endpointAddress: freeAddress(c.t)}
	n.vm = acaciaroute.VM{
		ID:         fmt.Sprintf("%s-%d", kind, index),
		Role:       acaciaroute.RoleEndpoint,
		Address:    freeAddress(c.t),
		DataCentre: "ost-graz",
		Region:     "ost",
		State:      acaciaroute.VMLive,
	}
	agentKind := "model"
	if kind == "engine" {
		n.vm.Service = "zeichner"
		n.vm.Models = []string{modelName}
		n.endpoint = c.startProgram(n.vm.ID+"-endpoint", "acaciastandin", "engine", "--fenced", "--listen", n.endpointAddress, "--generation", fmt.Sprint(index%3))
	} else {
		agentKind = "plain"
		n.vm.Service = "archiv"
		n.endpoint = c.startProgram(n.vm.ID+"-endpoint", "acaciastandin", "plain", "--listen", n.endpointAddress)
	}
	c.writeSettings(n, fmt.Sprintf("[agent]\nkind = %q\nendpoint = \"http://%s\"\nchecks_fencing = %t\n", agentKind, n.endpointAddress, kind == "engine"))
	c.startNode(n)
	c.setVM(n.vm)
	return n
}

func (c *cluster) writeSettings(n *node, role string) {
	c.t.Helper()
	text := fmt.Sprintf("[process]\nid = %q\naddress = %q\ndata_centre = %q\nregion = %q\ndrain_time = \"60s\"\n[platform]\nlog = \"http://%s\"\nvm_list = \"http://%s\"\nweight_store = \"http://%s\"\n%s",
		n.vm.ID, n.vm.Address, n.vm.DataCentre, n.vm.Region, c.platform, c.platform, c.platform, role)
	n.settings = filepath.Join(c.dir, n.vm.ID+".toml")
	assert.NilError(c.t, os.WriteFile(n.settings, []byte(text), 0o600))
}

// startNode starts the process of a VM, or starts it again.
func (c *cluster) startNode(n *node) {
	c.t.Helper()
	command := "agent"
	if n.vm.Role == acaciaroute.RoleEntry {
		command = "entry"
	}
	if at := c.stopAt[n.vm.ID]; at != "" {
		n.process = c.startCommand(n.vm.ID, stoppingCommand(at, n))
	} else {
		n.process = c.startProgram(n.vm.ID, "acaciaroute", command, "--settings", n.settings)
	}
	waitFor(c.t, func() bool {
		_, err := c.status(n)
		return err == nil
	})
}

func (c *cluster) startProgram(name, program string, arguments ...string) *exec.Cmd {
	c.t.Helper()
	return c.startCommand(name, exec.Command(filepath.Join(binaries, program), arguments...))
}

func (c *cluster) startCommand(name string, command *exec.Cmd) *exec.Cmd {
	c.t.Helper()
	log, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(c.t, err)
	command.Stderr = log
	command.Stdout = log
	if file := c.stdout[name]; file != nil {
		command.Stdout = file
	}
	assert.NilError(c.t, command.Start())
	c.t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		_, _ = command.Process.Wait()
		_ = log.Close()
		if c.t.Failed() {
			data, _ := os.ReadFile(log.Name())
			c.t.Logf("%s:\n%s", name, tail(data))
		}
	})
	return command
}

func tail(data []byte) []byte {
	const most = 1500
	return data[max(0, len(data)-most):]
}

func (c *cluster) setVM(vm acaciaroute.VM) {
	c.t.Helper()
	data, err := json.Marshal(acaciaplatform.NewVMReply(vm))
	assert.NilError(c.t, err)
	request, err := http.NewRequest(http.MethodPut, "http://"+c.platform+"/vms", bytes.NewReader(data))
	assert.NilError(c.t, err)
	response, err := c.client.Do(request)
	assert.NilError(c.t, err)
	assert.NilError(c.t, response.Body.Close())
}

func (c *cluster) publish(targets string) string {
	c.t.Helper()
	path := filepath.Join(c.dir, "targets.toml")
	assert.NilError(c.t, os.WriteFile(path, []byte(targets), 0o600))
	return c.tool("publish", "--log", "http://"+c.platform, "--vm-list", "http://"+c.platform, "--targets", path)
}

// tool runs an operator's command and returns what it prints.
func (c *cluster) tool(arguments ...string) string {
	c.t.Helper()
	output, err := c.run(arguments...)
	assert.NilError(c.t, err, output)
	return output
}

// run runs an operator's command, which may fail.
func (c *cluster) run(arguments ...string) (string, error) {
	output, err := exec.Command(filepath.Join(binaries, "acaciaroute"), arguments...).CombinedOutput()
	return string(output), err
}

func (c *cluster) nodes() []*node {
	return append(append(append([]*node(nil), c.entries...), c.engines...), c.plains...)
}

func (c *cluster) status(n *node) (*acaciawire.StatusReply, error) {
	clients := acaciaprocess.NewClients()
	defer clients.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return clients.Peer(n.vm.Address).Status(ctx, &acaciawire.StatusRequest{})
}

func (c *cluster) awaitStatus(good func(*acaciawire.StatusReply) bool) {
	c.t.Helper()
	waitFor(c.t, func() bool {
		for _, n := range c.nodes() {
			reply, err := c.status(n)
			if err != nil || !good(reply) {
				return false
			}
		}
		return true
	})
}

// events returns the time line of all processes that answer.
func (c *cluster) events() []acaciaevent.Event {
	c.t.Helper()
	clients := acaciaprocess.NewClients()
	defer clients.Close()
	var events []acaciaevent.Event
	for _, n := range c.nodes() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		reply, err := clients.Peer(n.vm.Address).Events(ctx, &acaciawire.EventsRequest{})
		cancel()
		if err != nil {
			continue
		}
		for _, data := range reply.Events {
			event, err := acaciaevent.Decode(data)
			assert.NilError(c.t, err)
			events = append(events, event)
		}
	}
	return events
}

// runs adds up how often each request ID or body reached the endpoints of nodes.
func (c *cluster) runs(nodes []*node) map[string]int {
	c.t.Helper()
	total := map[string]int{}
	for _, n := range nodes {
		response, err := c.client.Get("http://" + n.endpointAddress + "/runs")
		if err != nil {
			continue
		}
		var runs map[string]int
		assert.NilError(c.t, json.NewDecoder(response.Body).Decode(&runs))
		assert.NilError(c.t, response.Body.Close())
		for id, count := range runs {
			total[id] += count
		}
	}
	return total
}

// freeAddress returns an address with a port of its own, used once in a run. It is on a
// loopback IP of this run's own and below the ports that the kernel gives to whoever asks.
// It is not tried out here: a program that another test starts at that moment holds the
// listening socket, too, from its fork to its exec, and keeps the port in use.
func freeAddress(t *testing.T) string {
	t.Helper()
	port := firstPort + int(lastPort.Add(1))
	assert.Assert(t, port < ephemeralPort, "no port is left")
	pid := os.Getpid()
	ip := net.IPv4(127, byte(128|pid>>16&0x3f), byte(pid>>8), byte(pid))
	return net.JoinHostPort(ip.String(), strconv.Itoa(port))
}

func (c *cluster) fault(address, body string) {
	c.t.Helper()
	response, err := c.client.Post("http://"+address+"/faults", "application/json", strings.NewReader(body))
	assert.NilError(c.t, err)
	assert.NilError(c.t, response.Body.Close())
}

// signal sends a signal to a VM's process; it returns once SIGSTOP has stopped it.
func (n *node) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	assert.NilError(t, n.process.Process.Signal(signal))
	if signal == syscall.SIGSTOP {
		awaitStop(t, n.process)
	}
}

// kill ends a process at once and waits for it.
func kill(t *testing.T, command *exec.Cmd) {
	t.Helper()
	assert.NilError(t, command.Process.Kill())
	_, _ = command.Process.Wait()
}

// stop ends a process gracefully and waits for it.
func stop(t *testing.T, command *exec.Cmd) {
	t.Helper()
	assert.NilError(t, command.Process.Signal(syscall.SIGTERM))
	state, err := command.Process.Wait()
	assert.NilError(t, err)
	assert.Check(t, state.Success(), "exit: %s", state)
}
