package acaciaprocess

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acacialoop"
)

type (
	// Directory follows the platform's VM list.
	Directory struct {
		list     acaciaroute.VMList
		recorder *acaciaevent.Recorder
		changed  []func([]acaciaroute.VM)
		worker   *acacialoop.Worker

		mu   sync.Mutex
		vms  []acaciaroute.VM
		read bool
		down bool
	}
)

const (
	listInterval = 500 * time.Millisecond
	listTimeout  = 2 * time.Second
)

// NewDirectory returns a directory that has not started.
func NewDirectory(list acaciaroute.VMList, recorder *acaciaevent.Recorder) *Directory {
	return &Directory{list: list, recorder: recorder, worker: acacialoop.NewWorker()}
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
	return d.read
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
		return
	}
	d.mu.Lock()
	same := d.read && slices.EqualFunc(d.vms, vms, sameVM)
	d.read = true
	d.vms = vms
	d.mu.Unlock()
	if same {
		return
	}
	d.recorder.Record(acaciaevent.Event{Kind: acaciaevent.VMListed, Count: int64(len(vms))})
	for _, f := range d.changed {
		f(vms)
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

func sameVM(a, b acaciaroute.VM) bool {
	return a.ID == b.ID && a.Address == b.Address && a.State == b.State && a.Service == b.Service &&
		a.Role == b.Role && a.Place == b.Place && a.Region == b.Region && slices.Equal(a.Models, b.Models)
}
