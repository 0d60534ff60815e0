package acaciarun

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// Answer buffers the part of a run's answer that the endpoint has produced so
	// far. One goroutine may append while any number of goroutines read.
	Answer struct {
		// maxUnreadBytes bounds the bytes that wait for a reader; zero means no bound.
		maxUnreadBytes int
		// replayBytes is how many bytes behind furthestRead are retained at least.
		replayBytes int

		mu sync.Mutex
		// changed is closed and replaced whenever the state below changes.
		changed chan struct{}
		header  *acaciaroute.AnswerHeader
		// base is the offset of the first byte of data.
		base int64
		data buffer
		// furthestRead is the highest offset that a reader has requested.
		furthestRead int64
		// gaveWay reports whether the answer was dropped for the memory of others.
		gaveWay bool
		// onSize, if set, is called without the lock whenever the size of data may have changed.
		onSize func()
		end    *End
		digest *xxhash.Digest
	}

	// End describes how an answer ended.
	End struct {
		// Code is CodeOK for a complete answer.
		Code   acaciaroute.Code
		Detail string
		// Total is the length of the answer in bytes.
		Total int64
		// Digest is the xxHash of the complete answer.
		Digest uint64
	}

	// Part is a contiguous section of an answer, as returned to a reader.
	Part struct {
		Offset int64
		// Data must not be changed.
		Data []byte
		// End is set on the last part.
		End *End
	}
)

// NewAnswer returns an empty answer. If maxUnreadBytes is positive, Append waits once
// that many bytes are unread, and at least the last replayBytes of the bytes
// already read are retained, so that a reader whose connection broke after sending
// them can resume. If maxUnreadBytes is zero, the complete answer is retained.
func NewAnswer(maxUnreadBytes, replayBytes int) *Answer {
	return &Answer{maxUnreadBytes: maxUnreadBytes, replayBytes: replayBytes, changed: make(chan struct{}), digest: xxhash.New()}
}

// SetHeader sets the answer's header. It must be called before the first Append.
func (a *Answer) SetHeader(header acaciaroute.AnswerHeader) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.header = &header
	a.notifyWaiters()
}

// Append adds data to the answer. It waits while maxUnreadBytes or more are unread.
func (a *Answer) Append(ctx context.Context, data []byte) error {
	for {
		a.mu.Lock()
		if a.gaveWay {
			a.mu.Unlock()
			return errGaveWay
		}
		if a.maxUnreadBytes == 0 || a.unreadBytes() < a.maxUnreadBytes {
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
	a.data.append(data)
	_, _ = a.digest.Write(data)
	a.notifyWaiters()
	a.mu.Unlock()
	a.reportSize()
	return nil
}

// Finish ends the answer with a code. Later calls have no effect. An answer that gave way ends with CodeAnswerCut.
func (a *Answer) Finish(code acaciaroute.Code, detail string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != nil {
		return
	}
	if a.gaveWay {
		code, detail = errGaveWay.Code, errGaveWay.Detail
	}
	a.end = &End{Code: code, Detail: detail, Total: a.endOffset(), Digest: a.digest.Sum64()}
	a.notifyWaiters()
}

// Finished reports whether the answer has ended.
func (a *Answer) Finished() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.end != nil
}

// Code returns the code with which the answer ended, or CodeOK if it has not ended.
func (a *Answer) Code() acaciaroute.Code {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end == nil {
		return acaciaroute.CodeOK
	}
	return a.end.Code
}

// Len returns the number of bytes retained.
func (a *Answer) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.data.size
}

// Header waits for the answer's header and returns it. It returns nil if the answer
// ended without a header.
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

// Next waits for data or the end of the answer at offset and returns it. An offset
// outside the retained range gives CodeAnswerCut.
func (a *Answer) Next(ctx context.Context, offset int64) (Part, error) {
	for {
		part, changed, err := a.tryNext(offset)
		if err != nil || changed == nil {
			a.reportSize()
			return part, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Part{}, ctx.Err()
		}
	}
}

// tryNext returns the part at offset. If there is none yet, it returns the channel
// that is closed at the next change.
func (a *Answer) tryNext(offset int64) (Part, <-chan struct{}, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	end := a.endOffset()
	if offset < a.base || offset > end {
		return Part{}, nil, acaciaroute.Errorf(acaciaroute.CodeAnswerCut, "bytes %d to %d of the answer are retained, offset %d is not available", a.base, end, offset)
	}
	a.discardRead(offset)
	part := Part{Offset: offset}
	part.Data = a.data.from(int(offset - a.base))
	length := int64(len(part.Data))
	if offset+length == end {
		part.End = a.end
	}
	if length == 0 && part.End == nil {
		return Part{}, a.changed, nil
	}
	return part, nil, nil
}

// unreadBytes returns the number of bytes past the highest offset that a reader has
// requested.
func (a *Answer) unreadBytes() int {
	return int(a.endOffset() - a.furthestRead)
}

// endOffset returns the offset that the next byte will have.
func (a *Answer) endOffset() int64 {
	return a.base + int64(a.data.size)
}

// discardRead records that a reader has reached offset and discards bytes that lie
// more than replayBytes behind it.
func (a *Answer) discardRead(offset int64) {
	if offset <= a.furthestRead {
		return
	}
	a.furthestRead = offset
	if a.maxUnreadBytes == 0 {
		return
	}
	a.notifyWaiters()
	a.discardReplayed()
}

func (a *Answer) notifyWaiters() {
	close(a.changed)
	a.changed = make(chan struct{})
}
