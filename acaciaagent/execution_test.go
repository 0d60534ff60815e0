package acaciaagent

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciagrant"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciasetting"
)

// countingEndpoint counts the calls that reach it and fails them.
type countingEndpoint struct {
	acaciaroute.Endpoint
	calls int
}

func (c *countingEndpoint) Start(context.Context, acaciaroute.Call) (acaciaroute.Answer, error) {
	c.calls++
	return nil, errors.New("the endpoint runs nothing")
}

// A process that is suspended between the use of a grant and the call must not send the
// request once it is resumed: the endpoint may have left meanwhile.
func TestRequestIsRefusedIfProcessWasSuspendedAfterGrant(t *testing.T) {
	for name, test := range map[string]struct {
		delay time.Duration
		calls int
		code  acaciaroute.Code
	}{
		"at once":         {0, 1, acaciaroute.CodeEngineFailed},
		"after the grant": {acaciagrant.DefaultGrantLifetime, 0, acaciaroute.CodeRefused},
		"seconds later":   {4 * time.Second, 0, acaciaroute.CodeRefused},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := &countingEndpoint{}
			agent := New(acaciaprocess.New(t.Context(), acaciasetting.Settings{Agent: &acaciasetting.Agent{}}, "agent", acaciaprocess.Platform{}, logr.Discard()), endpoint)
			agent.runContext = t.Context()
			close(agent.supervisorDone)
			run, ok := agent.runStore.Register("r", "", "entry", 1, func() {})
			assert.Assert(t, ok)
			e := &execution{agent: agent, run: run, state: &atomic.Int32{}, grantUsedAt: time.Now().Add(-test.delay)}
			e.execute(t.Context())
			assert.Equal(t, endpoint.calls, test.calls)
			code := run.Answer.Code()
			assert.Equal(t, code, test.code)
		})
	}
}
