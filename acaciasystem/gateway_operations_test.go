package acaciasystem

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// The numbers of callOf's kinds.
	unsafeNumber = 0
	safeNumber   = 1
	streamNumber = 2

	// crowd is how many callers come at once; busyTime is how long an endpoint works for
	// each of them, so that most cannot be served in time.
	crowd    = 40
	busyTime = time.Second
)

// trace follows the steps of docs/OPERATIONS.md for gateways: from a request's ID and the
// processes' logs to the lines about it and around it.
func (f *fleet) trace(id string) string {
	f.t.Helper()
	arguments := []string{"timeline", "--request", id, "--context"}
	for _, g := range f.gateways {
		arguments = append(arguments, "--file", g.log())
	}
	output, err := exec.Command(filepath.Join(binaries, "acaciaroute"), arguments...).CombinedOutput()
	assert.NilError(f.t, err, "%s", output)
	return string(output)
}

func TestGatewaysRefusalUnderLoadIsExplainedByItsLines(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1)
	f.endpoints[0].setWork(busyTime)
	outcomes := make([]outcome, crowd)
	var group sync.WaitGroup
	for i := range outcomes {
		group.Go(func() { outcomes[i] = f.call(f.gateways[0], fmt.Sprint("load-", i), safeNumber) })
	}
	group.Wait()
	refused := ""
	for _, o := range outcomes {
		if o.status == http.StatusServiceUnavailable && strings.Contains(o.body, "2001") {
			refused = o.id
		}
	}
	assert.Assert(t, refused != "", "no caller was told 2001")
	wantLines(t, f.trace(refused),
		`request_shed code 2001 "endpoints":1 "queued" "expected_wait" "retry_after" "targets_version":3`)
}

func TestGatewaysUnknownOutcomeIsExplainedByItsLines(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1)
	f.endpoints[0].set(false, true)
	lost := f.call(f.gateways[0], "lost-1", unsafeNumber)
	assert.Equal(t, lost.status, http.StatusBadGateway, lost.body)
	assert.Check(t, strings.Contains(lost.body, "3001"), lost.body)
	at := f.endpoints[0].id
	wantLines(t, f.trace(lost.id),
		"request_dispatched "+at,
		"outcome_unknown code 3001 "+at+` the endpoint's answer was not whole reached true "attempts":1`)
}

func TestGatewaysLateAnswerIsExplainedByItsLines(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1)
	silent := f.endpoints[0]
	silent.proxy.hold(toEntry)
	answered := make(chan outcome, 1)
	go func() { answered <- f.call(f.gateways[0], "late-1", streamNumber) }()
	waitFor(t, func() bool { return f.ran()["late-1"] == 1 })
	f.addEndpoint()
	late := <-answered
	silent.proxy.release()
	assert.Equal(t, late.status, http.StatusOK, late.body)
	assert.Equal(t, late.body, wholeAnswer(late))
	wantLines(t, f.trace(late.id),
		"request_dispatched "+silent.id,
		"request_repeated "+silent.id+" the endpoint has fallen silent",
		"request_dispatched "+f.endpoints[1].id,
		"first_token "+f.endpoints[1].id,
		`answer_delivered count 200 "attempts":2`)
}
