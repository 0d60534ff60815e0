package acaciabody

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciamemory"
)

// Source is a body that is to be read.
type Source struct {
	// Body is the body, which ends with an http.MaxBytesError after MaxBytes.
	Body io.Reader
	// Announced is the length that the head announces, -1 if it announces none.
	Announced int64
	// MaxBytes is the most that a body may have; zero for no limit.
	MaxBytes int64
	// SetReadDeadline sets when a read from Body fails with os.ErrDeadlineExceeded.
	SetReadDeadline func(time.Time) error
	// Deadline is when the body must be complete. StallTimeout bounds the time for which nothing may come; zero for no
	// bound.
	Deadline     time.Time
	StallTimeout time.Duration
	// Memory holds the memory of the request; HeadBytes of it are not for the body, and each byte of the body counts
	// as CostFactor.
	Memory     *acaciamemory.Request
	HeadBytes  int64
	CostFactor int64
}

// The errors of Read. ErrNoMemory means that the request gives way to others.
var (
	ErrNoMemory = errors.New("requests hold too much memory, and this one gives way")
	ErrTooLarge = errors.New("the body is larger than the limit")
	ErrTooSlow  = errors.New("the body did not come in time")
)

const (
	// firstKnownBytes and firstUnknownBytes are the first sizes of a buffer. It grows as the body comes, so that a
	// length that is only announced costs little; most bodies fit into the first one.
	firstKnownBytes   = 32 << 10
	firstUnknownBytes = 4 << 10
)

// Read reads a body to its end. It is counted by the capacity of its buffers. An error other than those of this package
// is that of the connection.
func (s Source) Read(ctx context.Context) ([]byte, error) {
	if s.MaxBytes > 0 && s.Announced > s.MaxBytes {
		return nil, ErrTooLarge
	}
	if s.Announced >= 0 {
		s.Memory.Announce(s.HeadBytes + s.CostFactor*s.Announced)
	}
	buffer, err := s.grow(ctx, nil)
	if err != nil {
		return nil, err
	}
	for {
		if len(buffer) == cap(buffer) && int64(len(buffer)) != s.Announced {
			if buffer, err = s.grow(ctx, buffer); err != nil {
				return nil, err
			}
		}
		n, err := s.readOnce(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		s.Memory.Progress(int64(len(buffer)), time.Now())
		switch {
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return nil, s.classify(err)
		}
	}
}

// readOnce reads what has come, and waits for as long as nothing may come.
func (s Source) readOnce(data []byte) (int, error) {
	deadline := s.Deadline
	if stalled := time.Now().Add(s.StallTimeout); s.StallTimeout > 0 && stalled.Before(deadline) {
		deadline = stalled
	}
	if err := s.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	// An eviction sets a deadline, too, which must not be replaced by the one above.
	if s.Memory.Evicted() {
		return 0, ErrNoMemory
	}
	if len(data) == 0 {
		// The announced length has come, so that only the end is missing.
		data = make([]byte, 1)
		n, err := s.Body.Read(data)
		if n > 0 {
			return 0, ErrTooLarge
		}
		return 0, err
	}
	return s.Body.Read(data)
}

// classify returns the error of this package for an error of a read.
func (s Source) classify(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return ErrTooLarge
	case s.Memory.Evicted():
		return ErrNoMemory
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrTooSlow
	}
	return err
}

// grow returns a larger buffer with the same contents.
func (s Source) grow(ctx context.Context, buffer []byte) ([]byte, error) {
	size := int64(cap(buffer))
	next := s.nextSize(size)
	if !s.Memory.Resize(ctx, s.HeadBytes+size+s.CostFactor*next) {
		return nil, ErrNoMemory
	}
	larger := make([]byte, len(buffer), next)
	copy(larger, buffer)
	if !s.Memory.Resize(ctx, s.HeadBytes+s.CostFactor*next) {
		return nil, ErrNoMemory
	}
	return larger, nil
}

// nextSize returns the size of the buffer after one of a size: twice as much, but no more than the body can need.
func (s Source) nextSize(size int64) int64 {
	next := 2 * size
	switch {
	case size == 0 && s.Announced >= 0:
		next = firstKnownBytes
	case size == 0:
		next = firstUnknownBytes
	}
	if s.Announced >= 0 {
		return min(next, s.Announced)
	}
	if s.MaxBytes > 0 {
		// One byte more shows whether the body has ended.
		return min(next, s.MaxBytes+1)
	}
	return next
}
