package acaciasystem

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaagent"
	"github.com/acaciaroute/acaciaroute/acaciaengine"
	"github.com/acaciaroute/acaciaroute/acaciaentry"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciasetting"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

type (
	// suspendHandler is a log handler that suspends its process at the first event with a
	// given name.
	suspendHandler struct {
		slog.Handler
		event     string
		suspended *atomic.Bool
	}

	// step is a VM and the event at which its process suspends itself.
	step struct {
		vm, event string
	}
)

const (
	suspendEventVariable = "ACACIA_STOP_AT"
	settingsVariable     = "ACACIA_SETTINGS"
	// suspendTime is longer than the time after which peers give up a connection.
	suspendTime = 14 * time.Second
)

// steps are the steps of a request with an idempotency key, at its entry and at its
// agent.
var steps = []step{
	{"entry-0", "request_arrived"},
	{"entry-0", "key_claimed"},
	{"entry-0", "request_accepted"},
	{"entry-0", "answer_delivered"},
	{"engine-0", "reservation_queued"},
	{"engine-0", "grant_given"},
	{"engine-0", "request_dispatched"},
	{"engine-0", "first_token"},
	{"engine-0", "answer_finished"},
}

// Handle implements slog.Handler. The signal reaches other threads a moment later, so Handle
// blocks its caller until the process is resumed.
func (h suspendHandler) Handle(ctx context.Context, record slog.Record) error {
	err := h.Handler.Handle(ctx, record)
	if record.Message == h.event && h.suspended.CompareAndSwap(false, true) {
		resumed := make(chan os.Signal, 1)
		signal.Notify(resumed, syscall.SIGCONT)
		_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
		<-resumed
	}
	return err
}

// suspendingCommand returns a command that runs this test binary as a VM's process.
func suspendingCommand(event string, n *node) *exec.Cmd {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), suspendEventVariable+"="+event, settingsVariable+"="+n.settingsPath)
	return command
}

// runSuspending is the main function of a process that suspends itself at an event.
func runSuspending(event string) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	settings, err := acaciasetting.Load(os.Getenv(settingsVariable))
	if err != nil {
		panic(err)
	}
	inner := slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug})
	log := logr.FromSlogHandler(suspendHandler{inner, event, &atomic.Bool{}})
	client := acaciaplatform.New(acaciaplatform.Settings{Log: settings.Platform.Log, VMList: settings.Platform.VMList}, http.DefaultTransport)
	platform := acaciaprocess.Platform{Log: client.Log(), VMList: client.VMList()}
	var role interface {
		Start(ctx context.Context) error
		Close(ctx context.Context) error
	}
	if settings.Entry != nil {
		role = acaciaentry.New(ctx, acaciaprocess.New(ctx, settings, acaciaroute.RoleEntry, platform, log))
	} else {
		process := acaciaprocess.New(ctx, settings, acaciaroute.RoleEndpoint, platform, log)
		role = acaciaagent.New(process, acaciaengine.NewModelEngine(settings.Agent.Endpoint, acaciaengine.NewClient()))
	}
	if err := role.Start(context.Background()); err != nil {
		panic(err)
	}
	<-ctx.Done()
	_ = role.Close(context.Background())
}

// awaitSuspended waits until a process is suspended or has ended.
func awaitSuspended(t *testing.T, command *exec.Cmd) {
	t.Helper()
	waitFor(t, func() bool {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", command.Process.Pid))
		return err != nil || strings.Contains(string(data), ") T ") || strings.Contains(string(data), ") Z ")
	})
}

func TestSuspensionAtEachStepOfARequest(t *testing.T) {
	t.Parallel()
	for _, s := range steps {
		for _, killed := range []bool{false, true} {
			ending := "resumed"
			if killed {
				ending = "killed"
			}
			t.Run(s.vm+"/"+s.event+"/"+ending, func(t *testing.T) {
				t.Parallel()
				suspendAtStep(t, s, killed)
			})
		}
	}
}

// suspendAtStep suspends a process at a step of a request and then resumes or kills it.
// Meanwhile the caller retries the request through another entry, and once more at the
// end. The request must not run twice.
func suspendAtStep(t *testing.T, s step, killed bool) {
	const prompt, tokens = "draft", 40
	c := newSuspendingCluster(t, 2, 1, 0, map[string]string{s.vm: s.event})
	target := c.engines[0]
	if s.vm == c.entries[0].vm.ID {
		target = c.entries[0]
	}
	answers := make(chan answer, 2)
	send := func(entry *node) {
		answers <- c.sendRequest(entry, http.MethodPost, "/v1/completions", modelBody(prompt, tokens), withKey("k"))
	}
	go send(c.entries[0])
	awaitSuspended(t, target.process)
	go send(c.entries[1])
	// Adds a second endpoint, at which the request could run a second time.
	c.engines = append(c.engines, c.addEndpoint("engine", 1))
	time.Sleep(minKeyedUptime)
	if target == c.entries[0] {
		c.engines[0].vm.State = acaciaroute.VMLeaving
		c.setVM(c.engines[0].vm)
	}
	if killed {
		killProcess(t, target.process)
	} else {
		time.Sleep(suspendTime - minKeyedUptime)
		target.sendSignal(t, syscall.SIGCONT)
	}
	received := []answer{<-answers, <-answers}
	received = append(received, c.sendRequest(c.entries[1], http.MethodPost, "/v1/completions", modelBody(prompt, tokens), withKey("k")))
	runs := 0
	for _, count := range c.runCounts(c.engines) {
		runs += count
	}
	assert.Check(t, runs <= 1, "%d runs", runs)
	completeAnswers := 0
	for i, got := range received {
		t.Logf("answer %d: %d %s %v", i, got.status, got.code, got.err)
		if got.err == nil && got.status == http.StatusOK {
			checkModelAnswer(t, got, prompt, tokens)
			completeAnswers++
		}
	}
	assert.Check(t, completeAnswers == 0 || runs == 1, "%d complete answers from %d runs", completeAnswers, runs)
	if !killed {
		assert.Check(t, received[2].status == http.StatusOK || received[2].code == "3001", "last retry: %d %s %s", received[2].status, received[2].code, received[2].body)
	}
	checkInvariants(t, c.events())
}
