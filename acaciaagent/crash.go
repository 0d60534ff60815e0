package acaciaagent

import (
	"context"
	"sync"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciapoison"
)

type (
	// crashDetector distinguishes a crash of the endpoint from the failure of a single
	// call: after a crash, all runs that were active at the first failure fail within
	// crashWindow.
	crashDetector struct {
		report func(acaciapoison.Report)

		mu      sync.Mutex
		running map[string]watchedRun
		// suspects holds the runs that were active at the first failure. It is nil unless a
		// crash is suspected.
		suspects map[string]watchedRun
	}

	// watchedRun is an active run, or one that was active at the first failure.
	watchedRun struct {
		// content is the digest of the request.
		content string
		run     acaciapoison.Run
		alone   bool
		failed  bool
	}
)

// crashWindow is how long after the first failure the other runs fail as well if the
// endpoint has crashed.
const crashWindow = 300 * time.Millisecond

// newCrashDetector returns a detector that reports crashes, and contents that are cleared
// because their request completed alone without a crash.
func newCrashDetector(report func(acaciapoison.Report)) *crashDetector {
	return &crashDetector{report: report, running: map[string]watchedRun{}}
}

// runStarted records that a run has started.
func (d *crashDetector) runStarted(requestID, content string, run acaciapoison.Run, alone bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[requestID] = watchedRun{content: content, run: run, alone: alone}
}

// runEnded records how a run has ended. A complete answer shows that the endpoint is
// alive, a failed one may be the sign of a crash, and any other end, such as a cancelled
// call, is no evidence.
func (d *crashDetector) runEnded(ctx context.Context, requestID string, code acaciaroute.Code) {
	d.mu.Lock()
	defer d.mu.Unlock()
	run := d.running[requestID]
	switch code {
	case acaciaroute.CodeOK:
		d.suspects = nil
		if run.alone {
			d.report(acaciapoison.Report{Contents: []string{run.content}, At: time.Now(), Alone: true, Cleared: true})
		}
	case acaciaroute.CodeAnswerCut, acaciaroute.CodeEngineFailed:
		if d.suspects == nil {
			d.suspectRunning(ctx)
		}
		if suspect, ok := d.suspects[requestID]; ok {
			suspect.failed = true
			d.suspects[requestID] = suspect
		}
	default:
		delete(d.suspects, requestID)
	}
	delete(d.running, requestID)
}

// suspectRunning makes all active runs suspects of a crash and checks after crashWindow
// whether they have failed.
func (d *crashDetector) suspectRunning(ctx context.Context) {
	d.suspects = map[string]watchedRun{}
	for id, run := range d.running {
		d.suspects[id] = run
	}
	go func() {
		select {
		case <-time.After(crashWindow):
			d.reportIfCrashed()
		case <-ctx.Done():
		}
	}()
}

// reportIfCrashed reports a crash of the endpoint if all suspects have failed. It reports
// none if one is still active, or if a run completed in the meantime, which clears the
// suspects.
func (d *crashDetector) reportIfCrashed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	suspects := d.suspects
	d.suspects = nil
	if len(suspects) == 0 {
		return
	}
	report := acaciapoison.Report{At: time.Now()}
	for _, run := range suspects {
		if !run.failed {
			return
		}
		report.Contents = append(report.Contents, run.content)
		report.Runs = append(report.Runs, run.run)
		report.Alone = run.alone && len(suspects) == 1
	}
	d.report(report)
}
