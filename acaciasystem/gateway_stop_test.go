package acaciasystem

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stoppedWork is longer than a gateway goes on taking all requests after the signal.
const stoppedWork = 3100 * time.Millisecond

// A planned stop ends when the last request in hand is answered.
func TestGatewayAnswersWhatItHasWhenItIsStopped(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1)
	f.endpoints[0].setWork(stoppedWork)
	answered := make(chan outcome, 1)
	go func() { answered <- f.call(f.gateways[0], "stop-1", streamNumber) }()
	waitFor(t, func() bool { return f.ran()["stop-1"] == 1 })
	f.gateways[0].restart(syscall.SIGTERM)
	o := <-answered
	assert.NilError(t, o.err)
	assert.Equal(t, o.status, http.StatusOK, o.body)
	assert.Equal(t, o.body, wholeAnswer(o))
}
