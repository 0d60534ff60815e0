package acaciasystem

import (
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciaorder"
)

// receivedOrders returns the orders that an engine has received.
func (c *cluster) receivedOrders(n *node) []acaciaroute.Order {
	c.t.Helper()
	response, err := c.client.Get("http://" + n.endpointAddr + "/orders")
	assert.NilError(c.t, err)
	var orders []acaciaroute.Order
	assert.NilError(c.t, json.NewDecoder(response.Body).Decode(&orders))
	assert.NilError(c.t, response.Body.Close())
	return orders
}

// publishModels publishes targets with the given models, a TOML array, and returns when all
// entries have them.
func (c *cluster) publishModels(models string) {
	c.t.Helper()
	targets := strings.Replace(targetsText, `models = ["passage-plan"]`, "models = "+models, 1)
	c.publishTargets(targets + organisationTable("hoehle"))
}

func TestModelIsLoadedOnceWhileLeaseHolderIsSuspended(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1, 0)
	engine := c.engines[0]
	c.publishModels(`["passage-plan", "legend"]`)
	waitFor(t, func() bool { return len(c.receivedOrders(engine)) == 1 })
	assert.Equal(t, c.receivedOrders(engine)[0].Model, "legend")
	engine.vm.Models = append(engine.vm.Models, "legend")
	c.setVM(engine.vm)
	time.Sleep(2 * time.Second)
	body := strings.Replace(modelBody("note", 5), modelName, "legend", 1)
	got := c.sendRequest(c.entries[0], http.MethodPost, "/v1/completions", body, nil)
	assert.Equal(t, got.status, http.StatusOK, got.body)

	holder := c.leaseHolder()
	holder.sendSignal(t, syscall.SIGSTOP)
	c.publishModels(`["passage-plan", "legend", "loops"]`)
	waitWithin(t, startupTimeout+acaciaorder.LeaseDuration, func() bool { return len(c.receivedOrders(engine)) == 2 })
	holder.sendSignal(t, syscall.SIGCONT)
	time.Sleep(3 * time.Second)
	orders := c.receivedOrders(engine)
	assert.Equal(t, len(orders), 2)
	assert.Equal(t, orders[1].Model, "loops")
	assert.Check(t, orders[1].Fence > orders[0].Fence)
	checkInvariants(t, c.events())
}

// leaseHolder returns the entry that took the lease.
func (c *cluster) leaseHolder() *node {
	c.t.Helper()
	for _, event := range c.events() {
		for _, entry := range c.entries {
			if event.Kind == acaciaevent.LeaseTaken && event.Process == entry.vm.ID {
				return entry
			}
		}
	}
	c.t.Fatal("no entry has taken the lease")
	return nil
}
