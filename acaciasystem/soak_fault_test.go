package acaciasystem

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciakey"
)

// soakFaults are drawn by weight in this order: a change of a weight or of the order changes
// what a seed does.
var soakFaults = []soakFault{
	{"suspend", 5, func(x *injector, d time.Duration) { x.withNode(x.pickNode(), func(n *node) { x.suspend(n, d) }) }},
	{"suspend for 11 s", 1, func(x *injector, _ time.Duration) {
		x.withNode(x.pickNode(), func(n *node) { x.suspend(n, 11*time.Second) })
	}},
	{"kill", 5, func(x *injector, d time.Duration) {
		x.withNode(x.pickNode(), func(n *node) {
			killProcess(x.cluster.t, n.process)
			time.Sleep(d)
			x.cluster.startNode(n)
		})
	}},
	{"restart", 4, func(x *injector, _ time.Duration) {
		x.withNode(x.pickNode(), func(n *node) {
			stopProcess(x.cluster.t, n.process)
			x.cluster.startNode(n)
		})
	}},
	{"suspend, then kill", 1, func(x *injector, d time.Duration) {
		x.withNode(x.pickNode(), func(n *node) {
			n.sendSignal(x.cluster.t, syscall.SIGSTOP)
			time.Sleep(d)
			killProcess(x.cluster.t, n.process)
			x.cluster.startNode(n)
		})
	}},
	{"suspend during a restart", 1, func(x *injector, d time.Duration) {
		x.withNode(x.pickNode(), func(n *node) {
			n.sendSignal(x.cluster.t, syscall.SIGTERM)
			time.Sleep(d / 4)
			x.suspend(n, d)
			_, _ = n.process.Process.Wait()
			x.cluster.startNode(n)
		})
	}},
	{"leave and return", 2, func(x *injector, d time.Duration) {
		x.withNode(x.pickAgent(), func(n *node) {
			x.listVM(n, acaciaroute.VMLeaving)
			time.Sleep(d)
			stopProcess(x.cluster.t, n.process)
			x.cluster.startNode(n)
			x.listVM(n, acaciaroute.VMLive)
		})
	}},
	{"link blocked", 4, func(x *injector, d time.Duration) {
		p := x.proxies[x.pickAgent()]
		p.block(direction(x.random.IntN(2)))
		time.Sleep(d / 2)
		p.closeConnections()
		p.unblock()
	}},
	{"all links blocked", 1, func(x *injector, d time.Duration) {
		for _, p := range x.proxies {
			p.block(toServer)
			p.block(toClient)
		}
		time.Sleep(d)
		for _, p := range x.proxies {
			p.unblock()
		}
	}},
	{"engine crash", 2, func(x *injector, _ time.Duration) { x.cluster.setFault(x.pickEngine().endpointAddr, `{"crash":true}`) }},
	{"engine slow", 2, func(x *injector, d time.Duration) {
		engine := x.pickEngine()
		x.cluster.setFault(engine.endpointAddr, `{"slowdown":30}`)
		time.Sleep(d)
		x.cluster.setFault(engine.endpointAddr, normalSpeedFault)
	}},
	{"log down", 3, func(x *injector, d time.Duration) { x.failPlatform("", `{"down":true}`, d) }},
	{"log unreachable", 2, func(x *injector, d time.Duration) { x.failPlatform("", `{"unreached":true}`, d) }},
	{"log loses answers", 3, func(x *injector, d time.Duration) { x.failPlatform("", `{"lose_answers":true}`, d) }},
	{"log slow", 2, func(x *injector, d time.Duration) { x.failPlatform("", `{"delay":300000000}`, d) }},
	{"log down for 7 s", 1, func(x *injector, _ time.Duration) { x.failPlatform("", `{"down":true}`, 7*time.Second) }},
	{"VM list slow", 1, func(x *injector, d time.Duration) { x.failPlatform("/vms", `{"delay":1500000000}`, d) }},
	{"VMs missing from the list", 3, (*injector).removeVMsTemporarily},
	{"publication", 2, (*injector).publishTargets},
}

// pickAgent draws an agent, pickNode any process, and pickEngine a model engine.
func (x *injector) pickAgent() *node {
	return x.pickFrom(slices.Concat(x.cluster.engines, x.cluster.plainNodes))
}

func (x *injector) pickNode() *node {
	return x.pickFrom(x.cluster.nodes())
}

func (x *injector) pickEngine() *node {
	return x.pickFrom(x.cluster.engines)
}

func (x *injector) pickFrom(nodes []*node) *node {
	return nodes[x.random.IntN(len(nodes))]
}

// withNode runs an action on a node unless another injector is using that node.
func (x *injector) withNode(n *node, action func(*node)) {
	if !x.nodeLocks[n].TryLock() {
		return
	}
	defer x.nodeLocks[n].Unlock()
	action(n)
}

func (x *injector) suspend(n *node, d time.Duration) {
	n.sendSignal(x.cluster.t, syscall.SIGSTOP)
	time.Sleep(d)
	n.sendSignal(x.cluster.t, syscall.SIGCONT)
}

// failPlatform sets a fault of the platform, or of the part below a path, for a duration.
func (x *injector) failPlatform(path, fault string, d time.Duration) {
	x.platformLock.Lock()
	defer x.platformLock.Unlock()
	x.cluster.setFault(x.cluster.platformAddr+path, fault)
	time.Sleep(d)
	x.cluster.setFault(x.cluster.platformAddr+path, `{}`)
	if path == "" {
		x.mu.Lock()
		x.logDownTime += d + acaciakey.OutageGracePeriod
		x.mu.Unlock()
	}
}

// removeVMsTemporarily removes some VMs from the VM list while it is down for a duration, and adds
// them again a second after it is back.
func (x *injector) removeVMsTemporarily(d time.Duration) {
	x.platformLock.Lock()
	defer x.platformLock.Unlock()
	c := x.cluster
	c.setFault(c.platformAddr+"/vms", `{"down":true}`)
	time.Sleep(d)
	var removed []*node
	for _, n := range slices.Concat(c.engines, c.plainNodes) {
		if x.random.IntN(2) == 0 && x.nodeLocks[n].TryLock() {
			removed = append(removed, n)
			c.removeVM(n.vm)
		}
	}
	c.setFault(c.platformAddr+"/vms", `{}`)
	time.Sleep(time.Second)
	for _, n := range removed {
		x.listVM(n, acaciaroute.VMLive)
		x.nodeLocks[n].Unlock()
	}
}

// listVM sets a VM's state on the VM list, with its proxy's address.
func (s *soak) listVM(n *node, state acaciaroute.VMState) {
	vm := n.vm
	vm.Address = s.proxies[n].address
	vm.State = state
	s.cluster.setVM(vm)
}

// publishTargets publishes new targets; while the log has a fault the command may
// fail with status 400 or 500.
func (s *soak) publishTargets(time.Duration) {
	s.mu.Lock()
	s.publications++
	version := s.publications
	s.mu.Unlock()
	c := s.cluster
	path := filepath.Join(c.dir, fmt.Sprintf("soak-targets-%d.toml", version))
	targets := targetsText + organisationTable("hoehle") + organisationTable("karst") + organisationTable(fmt.Sprint("verein-", version))
	assert.Check(c.t, os.WriteFile(path, []byte(targets), 0o600))
	output, err := c.runCommand("publish", "--log", "http://"+c.platformAddr, "--vm-list", "http://"+c.platformAddr, "--targets", path)
	assert.Check(c.t, err == nil || strings.Contains(output, "400") || strings.Contains(output, "500"), output)
}

// injectFaults draws and injects faults until a time.
func (x *injector) injectFaults(end time.Time) {
	totalWeight := 0
	for _, f := range soakFaults {
		totalWeight += f.weight
	}
	for time.Now().Before(end) {
		x.injectFault(x.random.IntN(totalWeight), time.Duration(200+x.random.IntN(1500))*time.Millisecond)
		time.Sleep(300 * time.Millisecond)
	}
}

// injectFault injects the fault whose range of weights contains a position.
func (x *injector) injectFault(position int, d time.Duration) {
	for _, f := range soakFaults {
		position -= f.weight
		if position < 0 {
			x.mu.Lock()
			x.faultCounts[f.name]++
			x.mu.Unlock()
			f.inject(x, d)
			return
		}
	}
}
