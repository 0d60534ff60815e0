package acaciaevent

import (
	"sync"
	"time"
)

// Dependency records when something that a process needs is lost and is back.
type Dependency struct {
	recorder *Recorder
	name     string

	mu     sync.Mutex
	lostAt time.Time
}

// NewDependency returns a dependency that is there; name is for people.
func NewDependency(recorder *Recorder, name string) *Dependency {
	return &Dependency{recorder: recorder, name: name}
}

// Note takes the result of a use of the dependency.
func (d *Dependency) Note(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if (err == nil) == d.lostAt.IsZero() {
		return
	}
	if err != nil {
		d.lostAt = time.Now()
		d.recorder.Record(Event{Kind: DependencyLost, Detail: d.name + ": " + err.Error()})
		return
	}
	d.recorder.Record(Event{Kind: DependencyBack, Detail: d.name, Inputs: &Inputs{Waited: Since(d.lostAt)}})
	d.lostAt = time.Time{}
}
