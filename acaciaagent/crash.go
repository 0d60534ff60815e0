package acaciaagent

import (
	"context"
	"sync"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciapoison"
)

type (
	// crashDetector tells the death of the endpoint from the failure of one call: all
	// that ran at the first break has broken off a moment later.
	crashDetector struct {
		report func(acaciapoison.Report)

		mu      sync.Mutex
		running map[string]watchedRun
		dying   map[string]watchedRun
	}

	// watchedRun is a run's content and how it runs.
	watchedRun struct {
		content string
		alone   bool
		broken  bool
	}
)

// crashWindow is how long after the first break the others break off if the endpoint
// has died.
const crashWindow = 300 * time.Millisecond

// newCrashDetector returns a detector that reports crashes, and contents that were
// cleared.
func newCrashDetector(report func(acaciapoison.Report)) *crashDetector {
	return &crashDetector{report: report, running: map[string]watchedRun{}}
}

// begin notes that a run has begun.
func (d *crashDetector) begin(requestID, content string, alone bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[requestID] = watchedRun{content: content, alone: alone}
}

// end notes how a run has ended. A whole answer speaks for the endpoint, a broken
// one against it, and anything else, such as a cancelled call, says nothing.
func (d *crashDetector) end(ctx context.Context, requestID string, code acaciaroute.Code) {
	d.mu.Lock()
	defer d.mu.Unlock()
	run := d.running[requestID]
	switch code {
	case acaciaroute.CodeOK:
		d.dying = nil
		if run.alone {
			d.report(acaciapoison.Report{Contents: []string{run.content}, At: time.Now(), Alone: true, Cleared: true})
		}
	case acaciaroute.CodeAnswerCut, acaciaroute.CodeEngineFailed:
		if d.dying == nil {
			d.suspectAll(ctx)
		}
		if dying, ok := d.dying[requestID]; ok {
			dying.broken = true
			d.dying[requestID] = dying
		}
	default:
		delete(d.dying, requestID)
	}
	delete(d.running, requestID)
}

// suspectAll takes all that runs for dying and looks again a moment later.
func (d *crashDetector) suspectAll(ctx context.Context) {
	d.dying = map[string]watchedRun{}
	for id, run := range d.running {
		d.dying[id] = run
	}
	go func() {
		select {
		case <-time.After(crashWindow):
			d.decide()
		case <-ctx.Done():
		}
	}()
}

// decide reports the endpoint's death unless one of its runs goes on or ended well.
func (d *crashDetector) decide() {
	d.mu.Lock()
	defer d.mu.Unlock()
	dying := d.dying
	d.dying = nil
	if len(dying) == 0 {
		return
	}
	report := acaciapoison.Report{At: time.Now()}
	for _, run := range dying {
		if !run.broken {
			return
		}
		report.Contents = append(report.Contents, run.content)
		report.Alone = run.alone && len(dying) == 1
	}
	d.report(report)
}
