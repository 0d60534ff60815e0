package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

type (
	// fleet is the system under test and its surroundings.
	fleet struct {
		record   *record
		dir      string
		store    *store
		gateways []*gateway

		mu       sync.Mutex
		replicas []*replica
		crashes  []time.Time
		sent     map[string]time.Time
		closed   bool
	}

	// gateway is a gateway process on a loopback address of its own.
	gateway struct {
		fleet *fleet
		name  string
		ip    string

		mu      sync.Mutex
		process *exec.Cmd
	}
)

const (
	program      = "target/acaciaroute"
	callerPort   = 8221
	readyPort    = 8224
	controlPort  = 8229
	metricsPort  = 9464
	firstPort    = 7600
	readyTimeout = 15 * time.Second
	// The settings are those of a small deployment.
	settingsText = `nodeName = "%[1]s"
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = "%[2]s"
zone = "z1"
region = "r1"
portRange = [7600,7615]
seedNodes = ["%[3]s:8229"]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","platform"]
[zones]
z1 = "r1"
[bind]
front = "%[2]s:8221"
ready = "%[2]s:8224"
control = "%[2]s:8229"
[limits]
cpuShare = 0.304
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 4000
ackMs = 5000
syncS = 4
drainMs = 3000
graceS = 8
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
maxSkewMs = 6000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retrySlack = 52
quotaWindowS = 8
quotaOverrun = 0.1
quotaSlack = 190000
recoveryS = 12
passMs = 400
retryAfterS = 9.2
[platform]
address = "%[4]s"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 12
appendMs = 2.0
ingressPerS = 20.0
egressPerS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
`
	// The configuration has a streaming route that may not be resumed and one for bookings.
	configurationText = `{"version":%d,"routes":[
 {"name":"draft","host":"h.example","pathPrefix":"/draft/","routeType":"streaming","timeoutMs":10000,"targetLatencyMs":800,"priority":0,"service":"llm","maxAttempts":1,"public":false,"sticky":true,"streamResume":false,"targetGapMs":300},
 {"name":"book","host":"h.example","pathPrefix":"/book/","routeType":"non_idempotent","timeoutMs":3000,"targetLatencyMs":400,"priority":1,"service":"app","maxAttempts":1,"public":false},
 {"name":"read","host":"h.example","pathPrefix":"/read/","routeType":"idempotent","timeoutMs":3000,"targetLatencyMs":400,"priority":1,"service":"app","maxAttempts":2,"public":false}],
 "services":[{"name":"llm","healthPath":"/health","maxConnections":610,"protocol":"h1","tls":false,"engine":{"slots":6,"kvCapacity":782165,"kvTokenBytes":18432,"linkMbps":370000.0,"moves":true,"backups":true,"stride":5,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}},
  {"name":"app","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"club","apiKeys":["key-1"],"priority":1,"unit":"token_count","plainTokens":200,"ratePerS":162160,"burst":162160}]}`
)

// newFleet starts a store and gateways, and waits until all are ready.
func newFleet(record *record, gateways int) (*fleet, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: record, dir: dir, sent: map[string]time.Time{}}
	if f.store, err = newStore(); err != nil {
		return nil, err
	}
	f.store.put("keyed.op", "config", fmt.Appendf(nil, configurationText, 7))
	net16 := freeNetwork()
	for i := range gateways {
		g := &gateway{fleet: f, name: fmt.Sprint("front-z1-", i+1), ip: fmt.Sprintf("%s.%d", net16, i+1)}
		text := fmt.Sprintf(settingsText, g.name, g.ip, net16+".1", f.store.address)
		if err := os.WriteFile(g.path("toml"), []byte(text), 0o600); err != nil {
			return nil, err
		}
		f.gateways = append(f.gateways, g)
	}
	return f, nil
}

// startGateways starts all gateways and waits until they are ready.
func (f *fleet) startGateways() error {
	for _, g := range f.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

func (f *fleet) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, g := range f.gateways {
			if g.ready() {
				ready++
			}
		}
		if ready == len(f.gateways) {
			return nil
		}
	}
	return errors.New("the gateways did not become ready")
}

// freeNetwork returns the first three bytes of loopback addresses of which the fixed ports are free.
func freeNetwork() string {
	for i := 0; ; i++ {
		prefix := fmt.Sprintf("127.%d.%d", 100+(os.Getpid()+i)%100, (os.Getpid()/100+i)%250+1)
		free := true
		for _, port := range []int{callerPort, readyPort, controlPort, metricsPort, firstPort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", prefix, port))
			if err != nil {
				free = false
				continue
			}
			_ = listener.Close()
		}
		if free {
			return prefix
		}
	}
}

func (f *fleet) close() {
	f.mu.Lock()
	closed, replicas := f.closed, f.replicas
	f.closed = true
	f.mu.Unlock()
	if closed {
		return
	}
	for _, g := range f.gateways {
		g.kill()
	}
	for _, r := range replicas {
		r.stop()
	}
	f.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

func (g *gateway) path(extension string) string {
	return filepath.Join(g.fleet.dir, g.name+"."+extension)
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	log, err := os.OpenFile(g.path("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(program, "gateway")
	command.Env = append(os.Environ(), "ACACIAROUTE_CONFIG="+g.path("toml"))
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	g.process = command
	return nil
}

// kill ends the process with SIGKILL and waits for its end.
func (g *gateway) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil {
		return
	}
	_ = g.process.Process.Signal(syscall.SIGKILL)
	_ = g.process.Wait()
	g.process = nil
}

func (g *gateway) signal(signal syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.process.Process.Signal(signal)
}

func (g *gateway) address() string { return fmt.Sprintf("%s:%d", g.ip, callerPort) }

func (g *gateway) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/acaciaroute/ready", g.ip, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
