package acaciaconfiguration

import (
	"context"
	"errors"
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

	// Settings configure a Keeper.
	Settings struct {
		// Interval is the pause between two reads of the log.
		Interval time.Duration
		// Retention is how long the log keeps records.
		Retention time.Duration
	}

	// Keeper follows the configuration stream and provides one process with the
	// version in force.
	Keeper struct {
		log       acaciaroute.Log
		peers     Peers
		recorder  *acaciaevent.Recorder
		interval  time.Duration
		retention time.Duration

		mu    sync.Mutex
		judge *Judge
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

// New returns a keeper that has not been started.
func New(log acaciaroute.Log, peers Peers, recorder *acaciaevent.Recorder, settings Settings) *Keeper {
	return &Keeper{
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
func (k *Keeper) OnChange(f func(Snapshot)) {
	k.changeHandlers = append(k.changeHandlers, f)
}

// Start starts following the log. It stops at Close or when ctx ends.
func (k *Keeper) Start(ctx context.Context) {
	k.worker.Start(ctx, k.followLog)
}

// Close stops the keeper and waits until it has stopped.
func (k *Keeper) Close() {
	k.worker.Close()
}

// Current returns the version in force. Its Version is zero if there is none.
func (k *Keeper) Current() Snapshot {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.judge == nil {
		return Snapshot{}
	}
	return k.judge.Current()
}

// ReadAt returns when the stream was last read to its end, or zero if it never was.
func (k *Keeper) ReadAt() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.readAt
}

// adoptFromPeer adopts a version received from a peer if it is newer and valid.
func (k *Keeper) adoptFromPeer(version acaciaroute.Offset, text string) {
	if version <= k.Current().Version {
		return
	}
	targets, err := acaciatarget.Parse([]byte(text))
	if err != nil {
		k.recorder.Record(acaciaevent.Event{
			Kind:    acaciaevent.ConfigurationRefused,
			Version: version,
			Detail:  "from a peer: " + err.Error(),
		})
		return
	}
	snapshot := Snapshot{Version: version, Text: text, Targets: targets}
	k.mu.Lock()
	if k.judge == nil {
		k.judge = &Judge{}
	}
	newer := version > k.judge.Current().Version
	k.judge.AdoptNewer(snapshot)
	if k.positioned {
		k.resumeFromAdopted()
	}
	k.mu.Unlock()
	if newer {
		k.recorder.Record(acaciaevent.Event{Kind: acaciaevent.ConfigurationLearned, Version: version})
		k.notifyChange(snapshot)
	}
}

// Hear reports a version number received from a peer. If it is newer than the version
// in force, the keeper asks the peers and then reads the log without waiting for the
// interval.
func (k *Keeper) Hear(version acaciaroute.Offset) {
	if version <= k.Current().Version {
		return
	}
	select {
	case k.newerVersion <- struct{}{}:
	default:
	}
}

func (k *Keeper) followLog(ctx context.Context) {
	k.restartRenewalDelay()
	for {
		err := k.readLog(ctx)
		k.recordLogState(err)
		if err != nil || k.Current().Version == 0 {
			k.askPeers(ctx)
		}
		k.renewIfDue(ctx)
		select {
		case <-ctx.Done():
			return
		case <-k.newerVersion:
			k.askPeers(ctx)
		case <-time.After(k.interval):
		}
	}
}

// readLog applies all records that have not been read yet.
func (k *Keeper) readLog(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := k.seekOldest(ctx); err != nil {
		return err
	}
	for {
		records, err := k.log.Read(ctx, acaciaroute.StreamConfiguration, k.next, readLimit)
		if hasCode(err, acaciaroute.CodeLogTrimmed) {
			return k.skipTrimmed(ctx)
		}
		if err != nil {
			return err
		}
		for _, record := range records {
			k.applyRecord(record)
		}
		if len(records) < readLimit {
			return nil
		}
	}
}

// seekOldest sets the position to the oldest record in the log, once.
func (k *Keeper) seekOldest(ctx context.Context) error {
	if k.positioned {
		return nil
	}
	oldest, _, err := k.log.Head(ctx, acaciaroute.StreamConfiguration)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.next = oldest
	k.oldest = oldest
	k.positioned = true
	if k.judge == nil {
		k.judge = NewJudge(oldest)
	}
	k.resumeFromAdopted()
	return nil
}

// resumeFromAdopted brings a judge that has missed records back in sync. It moves the
// position to the record after the adopted version, if the log still contains all
// records from there on.
func (k *Keeper) resumeFromAdopted() {
	version := k.judge.Current().Version
	if k.judge.InSync() || version == 0 || version < k.oldest {
		return
	}
	k.next = version
	k.judge.MarkInSync()
}

// skipTrimmed moves past records that retention removed before they were read.
func (k *Keeper) skipTrimmed(ctx context.Context) error {
	oldest, _, err := k.log.Head(ctx, acaciaroute.StreamConfiguration)
	if err != nil {
		return err
	}
	k.recorder.Record(acaciaevent.Event{Kind: acaciaevent.LogTrimmed, Count: int64(oldest - k.next)})
	k.mu.Lock()
	defer k.mu.Unlock()
	k.next = oldest
	k.oldest = oldest
	k.judge.MarkOutOfSync()
	return nil
}

func (k *Keeper) applyRecord(record acaciaroute.Record) {
	k.mu.Lock()
	before := k.judge.Current().Version
	if record.Offset+1 > before {
		k.restartRenewalDelay()
	}
	verdict := k.judge.Judge(record)
	current := k.judge.Current()
	k.next = record.Offset + 1
	k.mu.Unlock()
	if !verdict.Accepted {
		k.recorder.Record(acaciaevent.Event{
			Kind:    acaciaevent.ConfigurationRefused,
			Version: record.Offset + 1,
			Detail:  verdict.Reason.Error(),
		})
		return
	}
	if current.Version > before {
		k.notifyChange(current)
	}
}

func (k *Keeper) notifyChange(snapshot Snapshot) {
	k.recorder.Record(acaciaevent.Event{Kind: acaciaevent.ConfigurationApplied, Version: snapshot.Version})
	for _, f := range k.changeHandlers {
		f(snapshot)
	}
}

func (k *Keeper) askPeers(ctx context.Context) {
	if k.peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	version, text, err := k.peers.NewestConfiguration(ctx)
	if err == nil {
		k.adoptFromPeer(version, text)
	}
}

// renewIfDue publishes the version in force again before retention removes its last
// record, so that processes that start later find it. Because part of the delay is
// random, usually one process renews the version for all.
func (k *Keeper) renewIfDue(ctx context.Context) {
	current := k.Current()
	if current.Version == 0 || time.Since(k.lastRecordAt) < k.renewalDelay {
		return
	}
	k.restartRenewalDelay()
	if k.logDown || !k.judge.InSync() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	publication := Publication{
		ProposalID: uuid.NewString(),
		BasedOn:    current.Version,
		Renews:     current.Version,
		JudgedTo:   k.next,
		Targets:    current.Text,
	}
	if err := appendPublication(ctx, k.log, publication); err == nil {
		k.recorder.Record(acaciaevent.Event{Kind: acaciaevent.ConfigurationKept, Version: current.Version})
	}
}

// restartRenewalDelay starts a new delay until the next renewal, between a third and a
// half of the log's retention.
func (k *Keeper) restartRenewalDelay() {
	k.lastRecordAt = time.Now()
	minDelay := float64(k.retention / 3)
	k.renewalDelay = time.Duration(minDelay * (1 + rand.Float64()/2))
}

func (k *Keeper) recordLogState(err error) {
	down := err != nil
	if !down {
		k.mu.Lock()
		k.readAt = time.Now()
		k.mu.Unlock()
	}
	if down == k.logDown {
		return
	}
	k.logDown = down
	kind := acaciaevent.LogUp
	detail := ""
	if down {
		kind = acaciaevent.LogDown
		detail = err.Error()
	}
	k.recorder.Record(acaciaevent.Event{Kind: kind, Detail: detail})
}

func hasCode(err error, code acaciaroute.Code) bool {
	var coded *acaciaroute.Error
	return errors.As(err, &coded) && coded.Code == code
}
