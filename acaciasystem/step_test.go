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
	// stopHandler is a log that stops its process at the first event of a name.
	stopHandler struct {
		slog.Handler
		at      string
		stopped *atomic.Bool
	}

	// step is a process and the event at which it stops.
	step struct {
		vm, event string
	}
)

const (
	stopVariable     = "ACACIA_STOP_AT"
	settingsVariable = "ACACIA_SETTINGS"
	// longFreeze is longer than peers take to give a connection up.
	longFreeze = 14 * time.Second
)

// steps are the steps of a request with an idempotency key at its entry and at its
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

// Handle implements slog.Handler. The signal reaches other threads a moment later, so
// that the caller is held back here until the process goes on.
func (h stopHandler) Handle(ctx context.Context, record slog.Record) error {
	err := h.Handler.Handle(ctx, record)
	if record.Message == h.at && h.stopped.CompareAndSwap(false, true) {
		woken := make(chan os.Signal, 1)
		signal.Notify(woken, syscall.SIGCONT)
		_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
		<-woken
	}
	return err
}

// stoppingCommand runs this test's own program as a VM's process.
func stoppingCommand(at string, n *node) *exec.Cmd {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), stopVariable+"="+at, settingsVariable+"="+n.settings)
	return command
}

// runStopping is the main function of a process that stops at an event.
func runStopping(at string) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	settings, err := acaciasetting.Load(os.Getenv(settingsVariable))
	if err != nil {
		panic(err)
	}
	inner := slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug})
	log := logr.FromSlogHandler(stopHandler{inner, at, &atomic.Bool{}})
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
		role = acaciaagent.New(process, acaciaengine.NewModel(settings.Agent.Endpoint, acaciaengine.NewClient()))
	}
	if err := role.Start(context.Background()); err != nil {
		panic(err)
	}
	<-ctx.Done()
	_ = role.Close(context.Background())
}

// awaitStop waits until a process is stopped or has ended.
func awaitStop(t *testing.T, command *exec.Cmd) {
	t.Helper()
	waitFor(t, func() bool {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", command.Process.Pid))
		return err != nil || strings.Contains(string(data), ") T ") || strings.Contains(string(data), ") Z ")
	})
}

func TestStopAtEachStepOfARequest(t *testing.T) {
	t.Parallel()
	for _, s := range steps {
		for _, dies := range []bool{false, true} {
			fate := "wakes"
			if dies {
				fate = "dies"
			}
			t.Run(s.vm+"/"+s.event+"/"+fate, func(t *testing.T) {
				t.Parallel()
				stopAtStep(t, s, dies)
			})
		}
	}
}

// stopAtStep freezes a process at a step of a request; meanwhile the caller sends the
// request again through another entry, and once more at the end.
func stopAtStep(t *testing.T, s step, dies bool) {
	const prompt, tokens = "draft", 40
	c := newStoppingCluster(t, 2, 1, 0, map[string]string{s.vm: s.event})
	target := c.engines[0]
	if s.vm == c.entries[0].vm.ID {
		target = c.entries[0]
	}
	answers := make(chan answer, 2)
	send := func(entry *node) {
		answers <- c.call(entry, http.MethodPost, "/v1/completions", modelBody(prompt, tokens), key("k"))
	}
	go send(c.entries[0])
	awaitStop(t, target.process)
	go send(c.entries[1])
	// A second endpoint, where the request could run twice.
	c.engines = append(c.engines, c.addEndpoint("engine", 1))
	time.Sleep(minKeyedUptime)
	if target == c.entries[0] {
		c.engines[0].vm.State = acaciaroute.VMLeaving
		c.setVM(c.engines[0].vm)
	}
	if dies {
		kill(t, target.process)
	} else {
		time.Sleep(longFreeze - minKeyedUptime)
		target.signal(t, syscall.SIGCONT)
	}
	told := []answer{<-answers, <-answers}
	told = append(told, c.call(c.entries[1], http.MethodPost, "/v1/completions", modelBody(prompt, tokens), key("k")))
	runs := 0
	for _, count := range c.runs(c.engines) {
		runs += count
	}
	assert.Check(t, runs <= 1, "%d runs", runs)
	whole := 0
	for i, got := range told {
		t.Logf("answer %d: %d %s %v", i, got.status, got.code, got.err)
		if got.err == nil && got.status == http.StatusOK {
			wantModel(t, got, prompt, tokens)
			whole++
		}
	}
	assert.Check(t, whole == 0 || runs == 1, "%d whole answers of %d runs", whole, runs)
	if !dies {
		assert.Check(t, told[2].status == http.StatusOK || told[2].code == "3001", "at the end: %d %s %s", told[2].status, told[2].code, told[2].body)
	}
	checkEvents(t, c.events())
}
