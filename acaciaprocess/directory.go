package acaciaprocess

import (
	"context"
	"sync"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acacialoop"
	"github.com/acaciaroute/acaciaroute/acaciamembership"
)

type (
	// Directory follows the platform's VM list.
	Directory struct {
		list     acaciaroute.VMList
		recorder *acaciaevent.Recorder
		changed  []func([]acaciaroute.VM)
		worker   *acacialoop.Worker

		mu   sync.Mutex
		view *acaciamembership.View
		vms  []acaciaroute.VM
		down bool
	}
)

const (
	listInterval = 500 * time.Millisecond
	listTimeout  = 2 * time.Second
)

// NewDirectory returns a directory that has not started.
func NewDirectory(list acaciaroute.VMList, recorder *acaciaevent.Recorder) *Directory {
	return &Directory{list: list, recorder: recorder, view: acaciamembership.NewView(), worker: acacialoop.NewWorker()}
}

// OnChange registers a function that gets every list that differs from the one
// before. It must be called before Start.
func (d *Directory) OnChange(f func([]acaciaroute.VM)) {
	d.changed = append(d.changed, f)
}

// Start begins to read the list until Close or the end of ctx.
func (d *Directory) Start(ctx context.Context) {
	d.worker.Start(ctx, d.follow)
}

// Close stops the directory and waits for it.
func (d *Directory) Close() {
	d.worker.Close()
}

// VMs returns the last list that was read.
func (d *Directory) VMs() []acaciaroute.VM {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.vms
}

// Read reports whether the list was read at least once.
func (d *Directory) Read() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.Read()
}

// ReadAt returns when the list was last read; zero if it never was.
func (d *Directory) ReadAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.ReadAt()
}

func (d *Directory) follow(ctx context.Context) {
	for {
		d.readOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(listInterval):
		}
	}
}

func (d *Directory) readOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	vms, err := d.list.VMs(ctx)
	d.note(err)
	if err != nil {
		d.mu.Lock()
		d.view.Failed()
		d.mu.Unlock()
		return
	}
	d.mu.Lock()
	first := !d.view.Read()
	change := d.view.Take(time.Now(), vms)
	vms = d.view.VMs()
	d.vms = vms
	d.mu.Unlock()
	d.record(change, len(vms))
	if !first && !change.Any() {
		return
	}
	for _, f := range d.changed {
		f(vms)
	}
}

// record tells what a reading of the list changed.
func (d *Directory) record(change acaciamembership.Change, count int) {
	if change.Any() {
		d.recorder.Record(acaciaevent.Event{Kind: acaciaevent.VMListed, Count: int64(count)})
	}
	for kind, vms := range map[acaciaevent.Kind][]acaciaroute.VM{
		acaciaevent.VMJoined:  change.Joined,
		acaciaevent.VMChanged: change.Changed,
		acaciaevent.VMGone:    change.Gone,
		acaciaevent.VMKept:    change.Kept,
	} {
		for _, vm := range vms {
			d.recorder.Record(acaciaevent.Event{Kind: kind, Service: vm.Service, Endpoint: vm.ID, Detail: string(vm.State) + " at " + vm.Address})
		}
	}
}

func (d *Directory) note(err error) {
	down := err != nil
	if down == d.down {
		return
	}
	d.down = down
	if down {
		d.recorder.Record(acaciaevent.Event{Kind: acaciaevent.VMListDown, Detail: err.Error()})
		return
	}
	d.recorder.Record(acaciaevent.Event{Kind: acaciaevent.VMListUp})
}
