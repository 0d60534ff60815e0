package acacialog

import (
	"context"
	"io"
	"sync"
)

type (
	// Writer passes lines to an output that may be slow or stall. WriteLine never waits
	// for the output: it rejects a line that does not fit into its buffer.
	Writer struct {
		output      io.Writer
		bufferLimit int
		wake        chan struct{}
		closing     chan struct{}
		done        chan struct{}

		mu sync.Mutex
		// important and ordinary hold the lines that are still to be written, each in a
		// buffer of its own, so that a flood of ordinary lines cannot displace important
		// ones.
		important    buffer
		ordinary     buffer
		linesWritten int64
	}

	// buffer holds lines up to a limit in bytes.
	buffer struct {
		lines [][]byte
		bytes int
	}
)

// DefaultBufferBytes is the default size of each of a Writer's two buffers.
const DefaultBufferBytes = 1 << 20

// NewWriter returns a writer with two buffers of limit bytes each, and starts to write
// in the background until Close.
func NewWriter(output io.Writer, limit int) *Writer {
	w := &Writer{
		output:      output,
		bufferLimit: limit,
		wake:        make(chan struct{}, 1),
		closing:     make(chan struct{}),
		done:        make(chan struct{}),
	}
	go w.run()
	return w
}

// WriteLine queues one line and reports whether it fitted into its buffer.
func (w *Writer) WriteLine(line []byte, important bool) bool {
	w.mu.Lock()
	target := &w.ordinary
	if important {
		target = &w.important
	}
	accepted := target.add(line, w.bufferLimit)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return accepted
}

// LinesWritten returns the number of lines that have been written to the output.
func (w *Writer) LinesWritten() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.linesWritten
}

// Close waits until the queued lines are written or ctx ends. If the output stalls
// beyond that, the background writing continues and Close returns without it.
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
		for _, line := range w.takeLines() {
			// An error of the log output cannot be logged anywhere; the line is lost.
			if _, err := w.output.Write(line); err == nil {
				w.mu.Lock()
				w.linesWritten++
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

// takeLines empties both buffers and returns their lines, the important ones first.
func (w *Writer) takeLines() [][]byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append(w.important.drain(), w.ordinary.drain()...)
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

func (b *buffer) drain() [][]byte {
	lines := b.lines
	b.lines, b.bytes = nil, 0
	return lines
}
