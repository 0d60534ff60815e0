package acaciapoison

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciacrash"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acacialoop"
	"github.com/acaciaroute/acaciaroute/acaciastream"
)

type (
	// Registry follows the stream of reports and appends to it. A report takes effect
	// in this process at once and is queued until the log has stored it. At most
	// maxUnsent reports are queued; further ones are not sent.
	// A Registry is safe for concurrent use.
	Registry struct {
		log         acaciaroute.Log
		stream      *acaciastream.Reader
		dependency  *acaciaevent.Dependency
		reportAdded chan struct{}
		worker      *acacialoop.Worker

		mu       sync.Mutex
		verdicts *verdictTable
		unsent   []Report
	}
)

const (
	syncInterval = time.Second
	callTimeout  = time.Second
	maxUnsent    = 100
)

// New returns a registry that has not been started.
func New(log acaciaroute.Log, recorder *acaciaevent.Recorder) *Registry {
	return &Registry{
		log:         log,
		stream:      acaciastream.New(log, acaciaroute.StreamSuspects),
		dependency:  acaciaevent.NewDependency(recorder, "reports of suspect requests"),
		reportAdded: make(chan struct{}, 1),
		worker:      acacialoop.NewWorker(),
		verdicts:    newVerdictTable(),
	}
}

// Start starts following the stream. It stops at Close or when ctx ends.
func (r *Registry) Start(ctx context.Context) {
	r.worker.Start(ctx, r.syncWithLog)
}

// Close stops the registry and waits until it has stopped.
func (r *Registry) Close() {
	r.worker.Close()
}

// Verdict returns the verdict on a content.
func (r *Registry) Verdict(content string) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verdicts.verdict(content, time.Now())
}

// Refusal returns the ban for which a request with the traits is refused now; nil if it may run.
func (r *Registry) Refusal(traits []acaciacrash.Trait) *acaciacrash.Ban {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verdicts.crashes.Refusal(traits, time.Now())
}

// Attempts returns what a crash of a run that starts now is to report of its traits.
func (r *Registry) Attempts(traits []acaciacrash.Trait) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verdicts.crashes.Attempts(traits)
}

// AddAnswer reports that a request with the traits was answered, if a crash makes one of them
// suspect.
func (r *Registry) AddAnswer(traits []acaciacrash.Trait) {
	r.mu.Lock()
	suspected := r.verdicts.crashes.Suspects(traits)
	r.mu.Unlock()
	if suspected {
		r.AddReport(Report{Answered: traits, At: time.Now()})
	}
}

// MarkSuspect marks a clean content as suspect in this process only, because its run
// was interrupted.
func (r *Registry) MarkSuspect(content string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.verdicts.verdict(content, time.Now()) == Clean {
		r.verdicts.suspects[content] = time.Now()
	}
}

// AddReport applies a report and queues it for the log.
func (r *Registry) AddReport(report Report) {
	r.mu.Lock()
	r.verdicts.applyReport(report)
	if len(r.unsent) < maxUnsent {
		r.unsent = append(r.unsent, report)
	}
	r.mu.Unlock()
	select {
	case r.reportAdded <- struct{}{}:
	default:
	}
}

func (r *Registry) syncWithLog(ctx context.Context) {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		r.dependency.RecordResult(errors.Join(r.appendUnsent(ctx), r.readStream(ctx)))
		select {
		case <-r.reportAdded:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// appendUnsent appends the queued reports to the log. A report that was stored
// although the log's response was lost is appended twice, which has no further
// effect.
func (r *Registry) appendUnsent(ctx context.Context) error {
	for {
		r.mu.Lock()
		if len(r.unsent) == 0 {
			r.mu.Unlock()
			return nil
		}
		report := r.unsent[0]
		r.mu.Unlock()
		data, err := json.Marshal(report)
		if err != nil {
			return err
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err = r.log.Append(callCtx, acaciaroute.StreamSuspects, data)
		cancel()
		if err != nil {
			return err
		}
		r.mu.Lock()
		r.unsent = r.unsent[1:]
		r.mu.Unlock()
	}
}

func (r *Registry) readStream(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.stream.Read(ctx, r.applyRecords)
}

func (r *Registry) applyRecords(records []acaciaroute.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		r.verdicts.applyRecord(record)
	}
	r.verdicts.removeExpired(time.Now())
}
