package acaciasystem

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stopRunTime exceeds the time for which a gateway still accepts all requests after SIGTERM.
const stopRunTime = 3100 * time.Millisecond

// Guards against a gateway that exits after SIGTERM before it has answered its last open
// request.
func TestStoppingGatewayAnswersItsOpenRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1)
	f.endpoints[0].setRunTime(stopRunTime)
	outcomes := make(chan outcome, 1)
	go func() { outcomes <- f.sendRequest(f.gateways[0], "stop-1", streamRequest) }()
	waitFor(t, func() bool { return f.runCounts()["stop-1"] == 1 })
	f.gateways[0].restart(syscall.SIGTERM)
	o := <-outcomes
	assert.NilError(t, o.err)
	assert.Equal(t, o.status, http.StatusOK, o.body)
	assert.Equal(t, o.body, expectedAnswer(o))
}
