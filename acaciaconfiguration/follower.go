package acaciaconfiguration

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acacialoop"
	"github.com/acaciaroute/acaciaroute/acaciatarget"
)

type (
	// Peers requests the configuration from other processes.
	Peers interface {
		// NewestConfiguration returns the newest version among the peers that it
		// asks. It may ask only a few of them.
		NewestConfiguration(ctx context.Context) (version acaciaroute.Offset, text string, err error)
	}

	// Settings configure a Follower.
	Settings struct {
		// Interval is the pause between two reads of the log.
		Interval time.Duration
		// Retention is how long the log keeps records.
		Retention time.Duration
	}

	// Follower follows the configuration stream and provides one process with the
	// version in force.
	Follower struct {
		log       acaciaroute.Log
		peers     Peers
		recorder  *acaciaevent.Recorder
		interval  time.Duration
		retention time.Duration

		mu        sync.Mutex
		validator *Validator
		// next is the offset of the next record to read, and oldest the oldest
		// offset in the log when next was last set from the log.
		next         acaciaroute.Offset
		oldest       acaciaroute.Offset
		lastRecordAt time.Time
		renewalDelay time.Duration
		logDown      bool
		// readAt is when the stream was last read to its end.
		readAt time.Time
		// positioned reports whether next has been set from the log.
		positioned     bool
		changeHandlers []func(Snapshot)
		// newerVersion signals that a peer has reported a newer version.
		newerVersion chan struct{}
		worker       *acacialoop.Worker
	}
)

const (
	// DefaultInterval is the default of Settings.Interval.
	DefaultInterval = time.Second
	// DefaultRetention is the default of Settings.Retention.
	DefaultRetention = time.Hour

	readLimit = 100
	// readTimeout limits one update from the log, one request to the peers and one
	// renewal.
	readTimeout = 2 * time.Second
)

// New returns a follower that has not been started.
func New(log acaciaroute.Log, peers Peers, recorder *acaciaevent.Recorder, settings Settings) *Follower {
	return &Follower{
		log:          log,
		peers:        peers,
		recorder:     recorder,
		interval:     settings.Interval,
		retention:    settings.Retention,
		newerVersion: make(chan struct{}, 1),
		worker:       acacialoop.NewWorker(),
	}
}

// OnChange registers a function that is called with every version that comes into
// force. It must be called before Start.
func (f *Follower) OnChange(handler func(Snapshot)) {
	f.changeHandlers = append(f.changeHandlers, handler)
}

// Start starts following the log. It stops at Close or when ctx ends.
func (f *Follower) Start(ctx context.Context) {
	f.worker.Start(ctx, f.followLog)
}

// Close stops the follower and waits until it has stopped.
func (f *Follower) Close() {
	f.worker.Close()
}

// Current returns the version in force. Its Version is zero if there is none.
func (f *Follower) Current() Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.validator == nil {
		return Snapshot{}
	}
	return f.validator.Current()
}

// ReadAt returns when the stream was last read to its end, or zero if it never was.
func (f *Follower) ReadAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readAt
}

// adoptFromPeer adopts a version received from a peer if it is newer and valid.
func (f *Follower) adoptFromPeer(version acaciaroute.Offset, text string) {
	if version <= f.Current().Version {
		return
	}
	targets, err := acaciatarget.Parse([]byte(text))
	if err != nil {
		f.recorder.Record(acaciaevent.Event{
			Kind:    acaciaevent.ConfigurationRefused,
			Version: version,
			Detail:  "from a peer: " + err.Error(),
		})
		return
	}
	snapshot := Snapshot{Version: version, Text: text, Targets: targets}
	f.mu.Lock()
	if f.validator == nil {
		f.validator = &Validator{}
	}
	newer := version > f.validator.Current().Version
	f.validator.AdoptNewer(snapshot)
	if f.positioned {
		f.resumeFromAdopted()
	}
	f.mu.Unlock()
	if newer {
		f.recorder.Record(acaciaevent.Event{Kind: acaciaevent.ConfigurationLearned, Version: version})
		f.notifyChange(snapshot)
	}
}

// ObserveVersion reports a version number received from a peer. If it is newer than
// the version in force, the follower asks the peers and then reads the log without
// waiting for the interval.
func (f *Follower) ObserveVersion(version acaciaroute.Offset) {
	if version <= f.Current().Version {
		return
	}
	select {
	case f.newerVersion <- struct{}{}:
	default:
	}
}

func (f *Follower) followLog(ctx context.Context) {
	f.restartRenewalDelay()
	for {
		err := f.readLog(ctx)
		f.recordLogState(err)
		if err != nil || f.Current().Version == 0 {
			f.askPeers(ctx)
		}
		f.renewIfDue(ctx)
		select {
		case <-ctx.Done():
			return
		case <-f.newerVersion:
			f.askPeers(ctx)
		case <-time.After(f.interval):
		}
	}
}

// readLog applies all records that have not been read yet.
func (f *Follower) readLog(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := f.seekOldest(ctx); err != nil {
		return err
	}
	for {
		records, err := f.log.Read(ctx, acaciaroute.StreamConfiguration, f.next, readLimit)
		if acaciaroute.HasCode(err, acaciaroute.CodeLogTrimmed) {
			return f.skipTrimmed(ctx)
		}
		if err != nil {
			return err
		}
		for _, record := range records {
			f.applyRecord(record)
		}
		if len(records) < readLimit {
			return nil
		}
	}
}

// seekOldest sets the position to the oldest record in the log, once.
func (f *Follower) seekOldest(ctx context.Context) error {
	if f.positioned {
		return nil
	}
	oldest, _, err := f.log.Head(ctx, acaciaroute.StreamConfiguration)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = oldest
	f.oldest = oldest
	f.positioned = true
	if f.validator == nil {
		f.validator = NewValidator(oldest)
	}
	f.resumeFromAdopted()
	return nil
}

// resumeFromAdopted brings a validator that has missed records back in sync. It
// moves the position to the record after the adopted version, if the log still
// contains all records from there on.
func (f *Follower) resumeFromAdopted() {
	version := f.validator.Current().Version
	if f.validator.InSync() || version == 0 || version < f.oldest {
		return
	}
	f.next = version
	f.validator.MarkInSync()
}

// skipTrimmed moves past records that retention removed before they were read.
func (f *Follower) skipTrimmed(ctx context.Context) error {
	oldest, _, err := f.log.Head(ctx, acaciaroute.StreamConfiguration)
	if err != nil {
		return err
	}
	f.recorder.Record(acaciaevent.Event{Kind: acaciaevent.LogTrimmed, Count: int64(oldest - f.next)})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = oldest
	f.oldest = oldest
	f.validator.MarkOutOfSync()
	return nil
}

func (f *Follower) applyRecord(record acaciaroute.Record) {
	f.mu.Lock()
	before := f.validator.Current().Version
	if record.Offset+1 > before {
		f.restartRenewalDelay()
	}
	verdict := f.validator.Validate(record)
	current := f.validator.Current()
	f.next = record.Offset + 1
	f.mu.Unlock()
	if !verdict.Accepted {
		f.recorder.Record(acaciaevent.Event{
			Kind:    acaciaevent.ConfigurationRefused,
			Version: record.Offset + 1,
			Detail:  verdict.Reason.Error(),
		})
		return
	}
	if current.Version > before {
		f.notifyChange(current)
	}
}

func (f *Follower) notifyChange(snapshot Snapshot) {
	f.recorder.Record(acaciaevent.Event{Kind: acaciaevent.ConfigurationApplied, Version: snapshot.Version})
	for _, handler := range f.changeHandlers {
		handler(snapshot)
	}
}

func (f *Follower) askPeers(ctx context.Context) {
	if f.peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	version, text, err := f.peers.NewestConfiguration(ctx)
	if err == nil {
		f.adoptFromPeer(version, text)
	}
}

// renewIfDue publishes the version in force again before retention removes its last
// record, so that processes that start later find it. Because part of the delay is
// random, usually one process renews the version for all.
func (f *Follower) renewIfDue(ctx context.Context) {
	current := f.Current()
	if current.Version == 0 || time.Since(f.lastRecordAt) < f.renewalDelay {
		return
	}
	f.restartRenewalDelay()
	if f.logDown || !f.validator.InSync() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	publication := Publication{
		ProposalID: uuid.NewString(),
		BasedOn:    current.Version,
		Renews:     current.Version,
		JudgedTo:   f.next,
		Targets:    current.Text,
	}
	if err := appendPublication(ctx, f.log, publication); err == nil {
		f.recorder.Record(acaciaevent.Event{Kind: acaciaevent.ConfigurationKept, Version: current.Version})
	}
}

// restartRenewalDelay starts a new delay until the next renewal, between a third and a
// half of the log's retention.
func (f *Follower) restartRenewalDelay() {
	f.lastRecordAt = time.Now()
	minDelay := float64(f.retention / 3)
	f.renewalDelay = time.Duration(minDelay * (1 + rand.Float64()/2))
}

func (f *Follower) recordLogState(err error) {
	down := err != nil
	if !down {
		f.mu.Lock()
		f.readAt = time.Now()
		f.mu.Unlock()
	}
	if down == f.logDown {
		return
	}
	f.logDown = down
	kind := acaciaevent.LogUp
	detail := ""
	if down {
		kind = acaciaevent.LogDown
		detail = err.Error()
	}
	f.recorder.Record(acaciaevent.Event{Kind: kind, Detail: detail})
}
