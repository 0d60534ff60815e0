package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bed is a small deployment on loopback addresses: a store, replicas, and gateways as processes of their own.
type bed struct {
	dir      string
	program  string
	trouble  bool
	store    *store
	gateways []*gateway

	mu     sync.Mutex
	record *os.File
	began  time.Time
}

// gateway is a process of the project's program.
type gateway struct {
	bed     *bed
	name    string
	ip      string
	port    int
	ready   int
	command *exec.Cmd
	exited  chan struct{}
}

const (
	readyTimeout = 15 * time.Second
	readyPoll    = 50 * time.Millisecond
	memoryMB     = 284
	maxFDs       = 4100
)

const settingsText = `nodeName = "%[1]s"
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = "%[2]s"
zone = "almaty-a"
region = "almaty"
portRange = [7600,7615]
seedNodes = [%[5]s]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","platform"]
[zones]
almaty-a = "almaty"
[bind]
front = "%[2]s:%[3]d"
ready = "%[2]s:%[4]d"
control = "%[2]s:8229"
[limits]
cpuShare = 0.304
cores = 1
memoryMb = %[7]d
maxFds = %[8]d
linkMbps = 1000.0
diskMb = 0
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
address = "%[6]s"
form = "log"
writesPerS = 400
readsPerS = 2000
`

// newBed starts a store and opens the record.
func newBed(program, recordPath string, trouble bool) (*bed, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &bed{dir: dir, program: program, trouble: trouble, store: s, record: record, began: time.Now()}, nil
}

// note writes a line to the record.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the bed has started and removes their files.
func (b *bed) close() {
	for _, g := range b.gateways {
		if g.command == nil {
			continue
		}
		_ = g.command.Process.Signal(syscall.SIGCONT)
		_ = g.command.Process.Kill()
		<-g.exited
	}
	b.store.close()
	_ = b.record.Close()
	_ = os.RemoveAll(b.dir)
}

// freePort returns a port of a loopback address at which nothing listens.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// startGateways starts gateways, each at a loopback address of its own, and waits until all are ready.
func (b *bed) startGateways(n int) error {
	pid := os.Getpid()
	for i := range n {
		g := &gateway{bed: b, name: fmt.Sprintf("front-almaty-a-%d", i+1), ip: fmt.Sprintf("127.%d.%d.%d", 20+pid%200, pid/200%250, i+1)}
		var err error
		if g.port, err = freePort(g.ip); err != nil {
			return err
		}
		if g.ready, err = freePort(g.ip); err != nil {
			return err
		}
		b.gateways = append(b.gateways, g)
	}
	for _, g := range b.gateways {
		if err := g.writeSettings(); err != nil {
			return err
		}
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range b.gateways {
		if !g.awaitReady(readyTimeout) {
			return fmt.Errorf("%s is not ready after %v", g.name, readyTimeout)
		}
	}
	return nil
}

func (g *gateway) settingsPath() string { return filepath.Join(g.bed.dir, g.name+".toml") }

func (g *gateway) address() string { return fmt.Sprintf("%s:%d", g.ip, g.port) }

func (g *gateway) writeSettings() error {
	var seeds []string
	for _, other := range g.bed.gateways[:min(3, len(g.bed.gateways))] {
		seeds = append(seeds, `"`+other.ip+`:8229"`)
	}
	text := fmt.Sprintf(settingsText, g.name, g.ip, g.port, g.ready, strings.Join(seeds, ","), g.bed.store.address(), memoryMB, maxFDs)
	return os.WriteFile(g.settingsPath(), []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() error {
	log, err := os.Create(filepath.Join(g.bed.dir, g.name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(g.bed.program, "gateway")
	command.Env = append(os.Environ(), "ACACIAROUTE_CONFIG="+g.settingsPath())
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	g.command, g.exited = command, make(chan struct{})
	go func(exited chan struct{}) {
		// Wait returns an error for a killed process, as expected.
		_ = command.Wait()
		close(exited)
	}(g.exited)
	g.bed.note("%s has started", g.name)
	return nil
}

// isReady asks the process whether it is ready, as the platform does.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/acaciaroute/ready", g.ip, g.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (g *gateway) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(readyPoll) {
		if g.isReady() {
			return true
		}
	}
	return false
}
