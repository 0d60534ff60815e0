package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMB is the memory of a machine of the class front.
	memoryMB = 284
	// maxFDs is the number of descriptors of a process, of which reservedFDs are for files.
	maxFDs      = 4100
	reservedFDs = 200
	maxSockets  = maxFDs - reservedFDs
	// restartDelay is the pause before the platform starts an ended process again.
	restartDelay = 500 * time.Millisecond
	// memoryPoll is how often the platform looks at the memory of a process.
	memoryPoll = 5 * time.Millisecond
)

// gateway is a front machine: the process of the deploy file, which the platform starts again when it
// ends and kills when it exceeds its memory.
type gateway struct {
	bed   *bed
	name  string
	ip    string
	front string
	ready string
	path  string

	mu       sync.Mutex
	process  *exec.Cmd
	closed   bool
	peakKB   int
	peakFDs  int
	starts   int
	ownEnds  []string
	finished chan struct{}
}

const settingsText = `nodeName = "%[1]s"
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = "%[2]s"
zone = "almaty-a"
region = "almaty"
portRange = [%[5]d,%[5]d]
seedNodes = ["%[9]s:%[6]d"]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
almaty-a = "almaty"
[bind]
front = "%[2]s:%[3]d"
ready = "%[2]s:%[4]d"
control = "%[2]s:%[6]d"
[limits]
cpuShare = 0.304
cores = 1
memoryMb = %[8]d
maxFds = %[10]d
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
retryBudgetRatio = 0.2
budgetWindowS = 10
retrySlack = 52
quotaWindowS = 8
quotaOverrun = 0.1
quotaSlack = 190000
recoveryS = 12
[platform]
address = "%[7]s"
form = "log"
writesPerS = 400
readsPerS = 2000
`

// freePort returns a TCP port that is free at an address.
func freePort(ip string) int {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		panic(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

// addGateway starts a gateway and waits until it is ready. All ports are the same on all machines.
func (b *bed) addGateway() *gateway {
	index := len(b.gateways) + 1
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 10+index, 1+pid>>8%250, 1+pid%250)
	if len(b.gateways) == 0 {
		b.seedIP = ip
		for i := range b.ports {
			b.ports[i] = freePort(ip)
		}
	}
	g := &gateway{bed: b, name: fmt.Sprintf("front-almaty-a-%d", index), ip: ip, finished: make(chan struct{})}
	g.front = net.JoinHostPort(ip, strconv.Itoa(b.ports[0]))
	g.ready = net.JoinHostPort(ip, strconv.Itoa(b.ports[1]))
	g.path = filepath.Join(b.temp, g.name+".toml")
	text := fmt.Sprintf(settingsText, g.name, ip, b.ports[0], b.ports[1], b.ports[2], b.ports[3], b.storeAddress, memoryMB, b.seedIP, maxFDs)
	if err := os.WriteFile(g.path, []byte(text), 0o600); err != nil {
		panic(err)
	}
	b.gateways = append(b.gateways, g)
	go g.supervise()
	return g
}

// waitReady waits until the platform's question is answered with 200.
func (g *gateway) waitReady(timeout time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + g.ready + "/acaciaroute/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// supervise starts the process, and again whenever it has ended.
func (g *gateway) supervise() {
	defer close(g.finished)
	for {
		log, err := os.OpenFile(filepath.Join(g.bed.temp, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			panic(err)
		}
		g.mu.Lock()
		if g.closed {
			g.mu.Unlock()
			return
		}
		// The platform limits the descriptors of the process.
		command := exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" gateway`, maxSockets), g.bed.program)
		command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + g.bed.temp, "LANG=C", "ACACIAROUTE_CONFIG=" + g.path}
		command.Stdout, command.Stderr = log, log
		if err := command.Start(); err != nil {
			panic(err)
		}
		g.process = command
		g.starts++
		g.mu.Unlock()
		g.bed.record("%s started, process %d", g.name, command.Process.Pid)
		stop := make(chan struct{})
		go g.watchMemory(command.Process.Pid, stop)
		err = command.Wait()
		close(stop)
		_ = log.Close()
		g.mu.Lock()
		closed := g.closed
		if !closed {
			g.ownEnds = append(g.ownEnds, fmt.Sprint(err))
		}
		g.mu.Unlock()
		if closed {
			return
		}
		g.bed.record("%s ended by itself or for its memory: %v", g.name, err)
		time.Sleep(restartDelay)
	}
}

// watchMemory kills the process, as the platform does, when it exceeds memoryMB. Pages of the program's
// file aren't counted.
func (g *gateway) watchMemory(pid int, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryPoll):
		}
		kb, fds := anonymousKB(pid), openFDs(pid)
		g.mu.Lock()
		g.peakKB, g.peakFDs = max(g.peakKB, kb), max(g.peakFDs, fds)
		g.mu.Unlock()
		if kb > memoryMB<<10 {
			g.bed.record("%s uses %d MB, more than memoryMb = %d: the platform kills it", g.name, kb>>10, memoryMB)
			_ = syscall.Kill(pid, syscall.SIGKILL)
			return
		}
	}
}

func anonymousKB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}

// openFDs returns the size of the directory of descriptors, which is their number.
func openFDs(pid int) int {
	info, err := os.Stat(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return int(info.Size())
}

// kill ends the process for good, without a warning.
func (g *gateway) kill() {
	g.close()
	g.bed.record("%s has lost its power for good", g.name)
}

// close kills the process for good.
func (g *gateway) close() {
	g.mu.Lock()
	g.closed = true
	if g.process != nil {
		_ = g.process.Process.Kill()
	}
	g.mu.Unlock()
	<-g.finished
}
