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

var soakFaults = []soakFault{
	{"freeze", 5, func(x *disturber, d time.Duration) { x.with(x.node(), func(n *node) { x.freeze(n, d) }) }},
	{"freeze for long", 1, func(x *disturber, _ time.Duration) {
		x.with(x.node(), func(n *node) { x.freeze(n, 11*time.Second) })
	}},
	{"kill", 5, func(x *disturber, d time.Duration) {
		x.with(x.node(), func(n *node) {
			kill(x.cluster.t, n.process)
			time.Sleep(d)
			x.cluster.startNode(n)
		})
	}},
	{"restart", 4, func(x *disturber, _ time.Duration) {
		x.with(x.node(), func(n *node) {
			stop(x.cluster.t, n.process)
			x.cluster.startNode(n)
		})
	}},
	{"freeze, then kill", 1, func(x *disturber, d time.Duration) {
		x.with(x.node(), func(n *node) {
			n.signal(x.cluster.t, syscall.SIGSTOP)
			time.Sleep(d)
			kill(x.cluster.t, n.process)
			x.cluster.startNode(n)
		})
	}},
	{"freeze in a restart", 1, func(x *disturber, d time.Duration) {
		x.with(x.node(), func(n *node) {
			n.signal(x.cluster.t, syscall.SIGTERM)
			time.Sleep(d / 4)
			x.freeze(n, d)
			_, _ = n.process.Process.Wait()
			x.cluster.startNode(n)
		})
	}},
	{"leave and come back", 2, func(x *disturber, d time.Duration) {
		x.with(x.agent(), func(n *node) {
			x.list(n, acaciaroute.VMLeaving)
			time.Sleep(d)
			stop(x.cluster.t, n.process)
			x.cluster.startNode(n)
			x.list(n, acaciaroute.VMLive)
		})
	}},
	{"cut", 4, func(x *disturber, d time.Duration) {
		p := x.proxies[x.agent()]
		p.hold(direction(x.random.IntN(2)))
		time.Sleep(d / 2)
		p.cut()
		p.release()
	}},
	{"region cut", 1, func(x *disturber, d time.Duration) {
		for _, p := range x.proxies {
			p.hold(toAgent)
			p.hold(toEntry)
		}
		time.Sleep(d)
		for _, p := range x.proxies {
			p.release()
		}
	}},
	{"engine crash", 2, func(x *disturber, _ time.Duration) { x.cluster.fault(x.engine().endpointAddress, `{"crash":true}`) }},
	{"engine slow", 2, func(x *disturber, d time.Duration) {
		engine := x.engine()
		x.cluster.fault(engine.endpointAddress, `{"slowdown":30}`)
		time.Sleep(d)
		x.cluster.fault(engine.endpointAddress, ownSpeed)
	}},
	{"log down", 3, func(x *disturber, d time.Duration) { x.trouble("", `{"down":true}`, d) }},
	{"log unreached", 2, func(x *disturber, d time.Duration) { x.trouble("", `{"unreached":true}`, d) }},
	{"log loses answers", 3, func(x *disturber, d time.Duration) { x.trouble("", `{"lose_answers":true}`, d) }},
	{"log slow", 2, func(x *disturber, d time.Duration) { x.trouble("", `{"delay":300000000}`, d) }},
	{"log down for long", 1, func(x *disturber, _ time.Duration) { x.trouble("", `{"down":true}`, 7*time.Second) }},
	{"list slow", 1, func(x *disturber, d time.Duration) { x.trouble("/vms", `{"delay":1500000000}`, d) }},
	{"list lapses", 3, (*disturber).lapse},
	{"publication", 2, (*disturber).publish},
}

// agent draws an agent, node any process, and engine a model engine.
func (x *disturber) agent() *node {
	return x.draw(slices.Concat(x.cluster.engines, x.cluster.plains))
}

func (x *disturber) node() *node {
	return x.draw(x.cluster.nodes())
}

func (x *disturber) engine() *node {
	return x.draw(x.cluster.engines)
}

func (x *disturber) draw(nodes []*node) *node {
	return nodes[x.random.IntN(len(nodes))]
}

// with does something to a node that no other disturber has in hand.
func (x *disturber) with(n *node, do func(*node)) {
	if !x.busy[n].TryLock() {
		return
	}
	defer x.busy[n].Unlock()
	do(n)
}

func (x *disturber) freeze(n *node, d time.Duration) {
	n.signal(x.cluster.t, syscall.SIGSTOP)
	time.Sleep(d)
	n.signal(x.cluster.t, syscall.SIGCONT)
}

// trouble sets a fault of the platform for a while.
func (x *disturber) trouble(part, fault string, d time.Duration) {
	x.platform.Lock()
	defer x.platform.Unlock()
	x.cluster.fault(x.cluster.platform+part, fault)
	time.Sleep(d)
	x.cluster.fault(x.cluster.platform+part, `{}`)
	if part == "" {
		x.mu.Lock()
		x.logAway += d + acaciakey.Grace
		x.mu.Unlock()
	}
}

// lapse has VMs lose their entries while the list is away and get them back soon after.
func (x *disturber) lapse(d time.Duration) {
	x.platform.Lock()
	defer x.platform.Unlock()
	c := x.cluster
	c.fault(c.platform+"/vms", `{"down":true}`)
	time.Sleep(d)
	var lapsed []*node
	for _, n := range slices.Concat(c.engines, c.plains) {
		if x.random.IntN(2) == 0 && x.busy[n].TryLock() {
			lapsed = append(lapsed, n)
			c.removeVM(n.vm)
		}
	}
	c.fault(c.platform+"/vms", `{}`)
	time.Sleep(time.Second)
	for _, n := range lapsed {
		x.list(n, acaciaroute.VMLive)
		x.busy[n].Unlock()
	}
}

// list puts a VM on the list in a state, at its proxy's address.
func (s *soak) list(n *node, state acaciaroute.VMState) {
	vm := n.vm
	vm.Address = s.proxies[n].address
	vm.State = state
	s.cluster.setVM(vm)
}

// publish publishes targets; while the log fails it may not succeed.
func (s *soak) publish(time.Duration) {
	s.mu.Lock()
	s.version++
	version := s.version
	s.mu.Unlock()
	c := s.cluster
	path := filepath.Join(c.dir, fmt.Sprintf("soak-targets-%d.toml", version))
	targets := targetsText + organisationText("hoehle") + organisationText("karst") + organisationText(fmt.Sprint("verein-", version))
	assert.Check(c.t, os.WriteFile(path, []byte(targets), 0o600))
	output, err := c.run("publish", "--log", "http://"+c.platform, "--vm-list", "http://"+c.platform, "--targets", path)
	assert.Check(c.t, err == nil || strings.Contains(output, "400") || strings.Contains(output, "500"), output)
}

// disturb draws faults until a time.
func (x *disturber) disturb(end time.Time) {
	total := 0
	for _, f := range soakFaults {
		total += f.weight
	}
	for time.Now().Before(end) {
		x.once(x.random.IntN(total), time.Duration(200+x.random.IntN(1500))*time.Millisecond)
		time.Sleep(300 * time.Millisecond)
	}
}

func (x *disturber) once(at int, d time.Duration) {
	for _, f := range soakFaults {
		at -= f.weight
		if at < 0 {
			x.mu.Lock()
			x.faults[f.name]++
			x.mu.Unlock()
			f.once(x, d)
			return
		}
	}
}
