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
	// Directory polls the platform's VM list and keeps the last result.
	Directory struct {
		list           acaciaroute.VMList
		recorder       *acaciaevent.Recorder
		changeHandlers []func([]acaciaroute.VM)
		worker         *acacialoop.Worker

		mu       sync.Mutex
		view     *acaciamembership.View
		vms      []acaciaroute.VM
		listDown bool
	}
)

const (
	pollInterval = 500 * time.Millisecond
	readTimeout  = 2 * time.Second
)

// NewDirectory returns a directory that reads nothing until Start.
func NewDirectory(list acaciaroute.VMList, recorder *acaciaevent.Recorder) *Directory {
	return &Directory{list: list, recorder: recorder, view: acaciamembership.NewView(), worker: acacialoop.NewWorker()}
}

// OnChange registers a function to be called with the first list and with every list
// that differs from the one before. OnChange must be called before Start.
func (d *Directory) OnChange(handler func([]acaciaroute.VM)) {
	d.changeHandlers = append(d.changeHandlers, handler)
}

// Start polls the list in the background until Close is called or ctx ends.
func (d *Directory) Start(ctx context.Context) {
	d.worker.Start(ctx, d.poll)
}

// Close stops polling and waits until it has ended.
func (d *Directory) Close() {
	d.worker.Close()
}

// VMs returns the VMs in force as of the last successful read.
func (d *Directory) VMs() []acaciaroute.VM {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.vms
}

// HasRead reports whether the list has been read at least once.
func (d *Directory) HasRead() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.HasRead()
}

// ReadAt returns when the list was last read, or the zero time if it never was.
func (d *Directory) ReadAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.ReadAt()
}

func (d *Directory) poll(ctx context.Context) {
	for {
		d.readList(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
	}
}

func (d *Directory) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	vms, err := d.list.VMs(ctx)
	d.recordAvailability(err)
	if err != nil {
		d.mu.Lock()
		d.view.NoteReadFailure()
		d.mu.Unlock()
		return
	}
	d.mu.Lock()
	firstRead := !d.view.HasRead()
	change := d.view.Update(time.Now(), vms)
	vms = d.view.VMs()
	d.vms = vms
	d.mu.Unlock()
	d.recordChange(change, len(vms))
	if !firstRead && !change.HasChanges() {
		return
	}
	for _, handler := range d.changeHandlers {
		handler(vms)
	}
}

// recordChange records an event for the list and one for each VM that changed with it.
func (d *Directory) recordChange(change acaciamembership.Change, count int) {
	if change.HasChanges() {
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

// recordAvailability records an event when reading the list begins to fail or succeeds
// again; err is the result of the last read.
func (d *Directory) recordAvailability(err error) {
	down := err != nil
	if down == d.listDown {
		return
	}
	d.listDown = down
	if down {
		d.recorder.Record(acaciaevent.Event{Kind: acaciaevent.VMListDown, Detail: err.Error()})
		return
	}
	d.recorder.Record(acaciaevent.Event{Kind: acaciaevent.VMListUp})
}
