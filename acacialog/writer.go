package acacialog

import (
	"context"
	"io"
	"sync"
)

type (
	// Writer passes lines to an output that may be slow or stall. Write never waits:
	// lines beyond the buffers are left out and counted.
	Writer struct {
		output  io.Writer
		limit   int
		wake    chan struct{}
		closing chan struct{}
		done    chan struct{}

		mu sync.Mutex
		// important and ordinary are the lines to be written, each with a buffer of its
		// own, so that a flood of ordinary lines cannot push an important one out.
		important buffer
		ordinary  buffer
		written   int64
	}

	// buffer holds lines up to a number of bytes.
	buffer struct {
		lines [][]byte
		bytes int
	}
)

// DefaultBufferBytes is the usual size of each of a Writer's two buffers.
const DefaultBufferBytes = 1 << 20

// NewWriter returns a writer with two buffers of limit bytes; it writes until Close.
func NewWriter(output io.Writer, limit int) *Writer {
	w := &Writer{
		output:  output,
		limit:   limit,
		wake:    make(chan struct{}, 1),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go w.run()
	return w
}

// Write takes one line and reports whether there was room for it.
func (w *Writer) Write(line []byte, important bool) bool {
	w.mu.Lock()
	target := &w.ordinary
	if important {
		target = &w.important
	}
	taken := target.add(line, w.limit)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return taken
}

// Written returns how many lines have reached the output.
func (w *Writer) Written() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written
}

// Close writes what is left until ctx ends; an output that stalls is left behind.
func (w *Writer) Close(ctx context.Context) {
	close(w.closing)
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		for _, line := range w.take() {
			// There is nowhere to tell of an output that fails; its lines are lost.
			if _, err := w.output.Write(line); err == nil {
				w.mu.Lock()
				w.written++
				w.mu.Unlock()
			}
		}
		select {
		case <-w.wake:
			continue
		case <-w.closing:
		}
		if w.empty() {
			return
		}
	}
}

// take returns the lines to write now, the important ones first.
func (w *Writer) take() [][]byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append(w.important.take(), w.ordinary.take()...)
}

func (w *Writer) empty() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.important.lines)+len(w.ordinary.lines) == 0
}

func (b *buffer) add(line []byte, limit int) bool {
	if b.bytes+len(line) > limit {
		return false
	}
	b.lines = append(b.lines, line)
	b.bytes += len(line)
	return true
}

func (b *buffer) take() [][]byte {
	lines := b.lines
	b.lines, b.bytes = nil, 0
	return lines
}
