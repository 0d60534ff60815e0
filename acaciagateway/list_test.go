package acaciagateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
