package acaciagateway

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	acaciaplatformstandin "github.com/acaciaroute/acaciaroute/platform/standin"
)

var start = time.Unix(1_800_000_000, 0)

func after(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// The store is away for 5 s for everybody.
func TestLapsedEndpointMayReturnAfterAnOutage(t *testing.T) {
	l := newEndpointList()
	l.store(false, after(0))
	assert.Check(t, l.grace(after(100)).IsZero())
	l.store(true, after(1000))
	l.hear(0, after(3000))
	l.store(false, after(6000))
	assert.Equal(t, l.grace(after(6500)), after(6000).Add(returnTime))
	assert.Check(t, l.grace(after(9000)).IsZero())
	// Another one that has just got the store back says nothing of the time before.
	assert.Check(t, !l.hear(500*time.Millisecond, after(6600)))
	assert.Check(t, !l.grace(after(6600)).IsZero())
}

// Only this process was cut off (hunt 4aee, trouble-1 --seed 396998766210): an endpoint
// that left meanwhile is gone.
func TestEndpointThatLeftDuringACutIsGone(t *testing.T) {
	l := newEndpointList()
	l.store(false, after(0))
	l.store(true, after(17500))
	l.store(false, after(26000))
	l.missing["e"] = after(26000).Add(returnTime)
	assert.Check(t, l.hear(30*time.Second, after(26300)))
	assert.Check(t, l.grace(after(26300)).IsZero())
}

func TestShortOutageKeepsNothing(t *testing.T) {
	l := newEndpointList()
	l.store(false, after(0))
	l.store(true, after(1000))
	l.store(false, after(1500))
	assert.Check(t, l.grace(after(1600)).IsZero())
	assert.Equal(t, l.readable(after(2000)), 500*time.Millisecond)
}

// Every second call is turned away, and the list has many pages: a gateway that began anew
// after each failure would never have the whole list (300 gateways that were killed at once
// did not serve again within 30 s before a list of 3,004 endpoints).
func TestLongListIsReadThoughTheStoreTurnsCallsAway(t *testing.T) {
	const endpoints = 30
	store := acaciaplatformstandin.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	store.PutConfiguration(acaciaplatformstandin.Configuration(1, 3000, 0))
	for i := range endpoints {
		register(t, store, fmt.Sprintf("i-%02d", i), anyPort, false)
	}
	store.SetBusy(true)
	gateway, _ := startGateway(t, server.URL, "g-1", nil)
	gateway.loop.Do(func() { assert.Equal(t, len(gateway.endpoints.listed), endpoints) })
}
