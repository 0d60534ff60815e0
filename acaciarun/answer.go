package acaciarun

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// Answer is the answer of one run as far as the endpoint has produced it.
	// One goroutine appends and any number read.
	Answer struct {
		window int
		kept   int

		mu      sync.Mutex
		changed chan struct{}
		header  *acaciaroute.AnswerHeader
		base    int64
		data    []byte
		// sent is the furthest offset that a reader has asked for.
		sent   int64
		end    *End
		digest *xxhash.Digest
	}

	// End closes an answer.
	End struct {
		// Code is CodeOK for a whole answer.
		Code   acaciaroute.Code
		Detail string
		// Total is the length of the answer in bytes.
		Total int64
		// Digest is the xxHash of the whole answer.
		Digest uint64
	}

	// Part is what a reader gets.
	Part struct {
		Offset int64
		Data   []byte
		// End is set on the last part.
		End *End
	}
)

const maxPart = 64 << 10

// NewAnswer returns an empty answer. With a window above zero at most that many
// bytes wait for a reader, and of what was read at least the last kept bytes
// stay, for a reader that sent them into a connection that then broke; with a
// window of zero everything is kept.
func NewAnswer(window, kept int) *Answer {
	return &Answer{window: window, kept: kept, changed: make(chan struct{}), digest: xxhash.New()}
}

// SetHeader sets the answer's head, before the first Append.
func (a *Answer) SetHeader(header acaciaroute.AnswerHeader) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.header = &header
	a.wakeAll()
}

// Append adds data; it waits while the window is full.
func (a *Answer) Append(ctx context.Context, data []byte) error {
	for {
		a.mu.Lock()
		if a.window == 0 || a.waiting() < a.window {
			break
		}
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	defer a.mu.Unlock()
	a.data = append(a.data, data...)
	_, _ = a.digest.Write(data)
	a.wakeAll()
	return nil
}

// Finish closes the answer with a code; later calls change nothing.
func (a *Answer) Finish(code acaciaroute.Code, detail string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != nil {
		return
	}
	a.end = &End{Code: code, Detail: detail, Total: a.base + int64(len(a.data)), Digest: a.digest.Sum64()}
	a.wakeAll()
}

// Finished reports whether the answer is closed.
func (a *Answer) Finished() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.end != nil
}

// Code returns the code with which the answer was closed, or CodeOK.
func (a *Answer) Code() acaciaroute.Code {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end == nil {
		return acaciaroute.CodeOK
	}
	return a.end.Code
}

// Len returns the number of bytes held.
func (a *Answer) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.data)
}

// Header returns the answer's head and waits until it is known; it is nil when
// the answer was closed without one.
func (a *Answer) Header(ctx context.Context) (*acaciaroute.AnswerHeader, error) {
	for {
		a.mu.Lock()
		header, end, changed := a.header, a.end, a.changed
		a.mu.Unlock()
		if header != nil || end != nil {
			return header, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Next returns the part at offset and waits until there is one. An offset that
// is no longer held gives CodeAnswerCut.
func (a *Answer) Next(ctx context.Context, offset int64) (Part, error) {
	for {
		part, changed, err := a.part(offset)
		if err != nil || changed == nil {
			return part, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Part{}, ctx.Err()
		}
	}
}

// part returns a part, or the channel that tells of the next change.
func (a *Answer) part(offset int64) (Part, <-chan struct{}, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	end := a.base + int64(len(a.data))
	if offset < a.base || offset > end {
		return Part{}, nil, acaciaroute.Errorf(acaciaroute.CodeAnswerCut, "the answer is held from byte %d to %d, not at %d", a.base, end, offset)
	}
	a.drop(offset)
	part := Part{Offset: offset}
	length := min(end-offset, maxPart)
	if length > 0 {
		begin := offset - a.base
		part.Data = append([]byte(nil), a.data[begin:begin+length]...)
	}
	if offset+length == end {
		part.End = a.end
	}
	if length == 0 && part.End == nil {
		return Part{}, a.changed, nil
	}
	return part, nil, nil
}

// waiting returns the number of bytes that no reader has asked for yet.
func (a *Answer) waiting() int {
	return int(a.base + int64(len(a.data)) - a.sent)
}

// drop notes that a reader has come to an offset and forgets what lies far
// enough behind it. It copies once for every kept bytes.
func (a *Answer) drop(offset int64) {
	if a.window == 0 || offset <= a.sent {
		return
	}
	a.sent = offset
	a.wakeAll()
	old := offset - int64(a.kept) - a.base
	if old <= int64(a.kept) {
		return
	}
	a.data = append([]byte(nil), a.data[old:]...)
	a.base += old
}

func (a *Answer) wakeAll() {
	close(a.changed)
	a.changed = make(chan struct{})
}
