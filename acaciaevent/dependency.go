package acaciaevent

import (
	"sync"
	"time"
)

// Dependency records when a service that a process depends on becomes unavailable and
// when it is available again.
type Dependency struct {
	recorder *Recorder
	name     string

	mu         sync.Mutex
	answeredAt time.Time
	lostAt     time.Time
}

// NewDependency returns a dependency that counts as available; name describes it in the
// events' details.
func NewDependency(recorder *Recorder, name string) *Dependency {
	return &Dependency{recorder: recorder, name: name, answeredAt: time.Now()}
}

// RecordResult takes the result of one use of the dependency and records an event if
// the dependency's availability has changed.
func (d *Dependency) RecordResult(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	silence := RoundedSince(d.answeredAt)
	if err == nil {
		d.answeredAt = time.Now()
	}
	if (err == nil) == d.lostAt.IsZero() {
		return
	}
	if err != nil {
		d.lostAt = time.Now()
		d.recorder.Record(Event{Kind: DependencyLost, Detail: d.name + ": " + err.Error(), Inputs: &Inputs{Waited: silence}})
		return
	}
	d.recorder.Record(Event{Kind: DependencyBack, Detail: d.name, Inputs: &Inputs{Waited: RoundedSince(d.lostAt)}})
	d.lostAt = time.Time{}
}
