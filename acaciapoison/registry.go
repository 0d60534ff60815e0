package acaciapoison

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acacialoop"
	"github.com/acaciaroute/acaciaroute/acaciastream"
)

type (
	// Registry follows the stream of reports and adds to it. A report that the log
	// does not take is kept and tried again, and counts here at once.
	Registry struct {
		log     acaciaroute.Log
		stream  *acaciastream.Reader
		reports *acaciaevent.Dependency
		added   chan struct{}
		worker  *acacialoop.Worker

		mu       sync.Mutex
		register *register
		unsent   []Report
	}
)

const (
	followInterval = time.Second
	callTimeout    = time.Second
	maxUnsent      = 100
)

// New returns a registry that has not started.
func New(log acaciaroute.Log, recorder *acaciaevent.Recorder) *Registry {
	return &Registry{
		log:      log,
		stream:   acaciastream.New(log, acaciaroute.StreamSuspects),
		reports:  acaciaevent.NewDependency(recorder, "reports of suspects"),
		added:    make(chan struct{}, 1),
		worker:   acacialoop.NewWorker(),
		register: newRegister(),
	}
}

// Start begins to follow the stream until Close or the end of ctx.
func (r *Registry) Start(ctx context.Context) {
	r.worker.Start(ctx, r.run)
}

// Close stops the registry and waits for it.
func (r *Registry) Close() {
	r.worker.Close()
}

// Verdict returns how a content may run.
func (r *Registry) Verdict(content string) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.register.verdict(content, time.Now())
}

// Suspect notes here alone that a content's run broke off.
func (r *Registry) Suspect(content string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.register.verdict(content, time.Now()) == Clean {
		r.register.suspects[content] = time.Now()
	}
}

// Add reports what an endpoint's death or survival says of contents.
func (r *Registry) Add(report Report) {
	r.mu.Lock()
	r.register.take(report)
	if len(r.unsent) < maxUnsent {
		r.unsent = append(r.unsent, report)
	}
	r.mu.Unlock()
	select {
	case r.added <- struct{}{}:
	default:
	}
}

func (r *Registry) run(ctx context.Context) {
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	for {
		r.reports.Note(errors.Join(r.send(ctx), r.read(ctx)))
		select {
		case <-r.added:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// send appends the reports that the log does not have. One that took effect though
// its answer was lost is sent twice, which changes nothing.
func (r *Registry) send(ctx context.Context) error {
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
		called, cancel := context.WithTimeout(ctx, callTimeout)
		_, err = r.log.Append(called, acaciaroute.StreamSuspects, data)
		cancel()
		if err != nil {
			return err
		}
		r.mu.Lock()
		r.unsent = r.unsent[1:]
		r.mu.Unlock()
	}
}

func (r *Registry) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.stream.Read(ctx, r.applyAll)
}

func (r *Registry) applyAll(records []acaciaroute.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		r.register.apply(record)
	}
	r.register.forget(time.Now())
}
