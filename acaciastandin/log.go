package acaciastandin

import (
	"context"
	"sync"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// Log is an in-memory log service with fault injection. It implements
	// acaciaroute.Log.
	Log struct {
		mu      sync.Mutex
		streams map[string]*stream
		faults  LogFaults
		appends int64
	}

	// LogFaults are the faults injected into a log service.
	LogFaults struct {
		// Down makes every call fail without effect, with an error that leaves open
		// whether an append took effect.
		Down bool `json:"down"`
		// Unreachable makes every call fail with an error that says that the service
		// was not reached, so that an append certainly had no effect.
		Unreachable bool `json:"unreached"`
		// LoseReplies makes appends take effect but return an error.
		LoseReplies bool `json:"lose_answers"`
		// Delay is the time that every call waits first.
		Delay time.Duration `json:"delay"`
		// RetainedRecords limits the records kept in each stream; zero means no
		// limit.
		RetainedRecords int `json:"keep"`
	}

	stream struct {
		oldest  acaciaroute.Offset
		records []acaciaroute.Record
	}
)

// NewLog returns an empty log service.
func NewLog() *Log {
	return &Log{streams: map[string]*stream{}}
}

// SetFaults replaces the faults.
func (l *Log) SetFaults(faults LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append implements acaciaroute.Log.
func (l *Log) Append(ctx context.Context, name string, data []byte) (acaciaroute.Offset, error) {
	faults, err := l.applyFaults(ctx)
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset := s.oldest + acaciaroute.Offset(len(s.records))
	s.records = append(s.records, acaciaroute.Record{Offset: offset, Data: append([]byte(nil), data...)})
	l.appends++
	if faults.RetainedRecords > 0 && len(s.records) > faults.RetainedRecords {
		dropped := len(s.records) - faults.RetainedRecords
		s.records = s.records[dropped:]
		s.oldest += acaciaroute.Offset(dropped)
	}
	if faults.LoseReplies {
		return 0, acaciaroute.Errorf(acaciaroute.CodeLogDown, "the reply to the append was lost")
	}
	return offset, nil
}

// Read implements acaciaroute.Log.
func (l *Log) Read(ctx context.Context, name string, from acaciaroute.Offset, limit int) ([]acaciaroute.Record, error) {
	if _, err := l.applyFaults(ctx); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if from < s.oldest {
		return nil, acaciaroute.Errorf(acaciaroute.CodeLogTrimmed, "the record at offset %d is no longer retained", from)
	}
	begin := min(int(from-s.oldest), len(s.records))
	end := min(begin+limit, len(s.records))
	return append([]acaciaroute.Record(nil), s.records[begin:end]...), nil
}

// Head implements acaciaroute.Log.
func (l *Log) Head(ctx context.Context, name string) (oldest, next acaciaroute.Offset, err error) {
	if _, err := l.applyFaults(ctx); err != nil {
		return 0, 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	return s.oldest, s.oldest + acaciaroute.Offset(len(s.records)), nil
}

// applyFaults waits for the injected delay and returns the faults, with an error if the
// service is down or not reachable.
func (l *Log) applyFaults(ctx context.Context) (LogFaults, error) {
	l.mu.Lock()
	faults := l.faults
	l.mu.Unlock()
	if err := sleepContext(ctx, faults.Delay); err != nil {
		return faults, &acaciaroute.Error{Code: acaciaroute.CodeLogDown, Detail: "the log did not answer in time", Err: err}
	}
	if faults.Unreachable {
		return faults, acaciaroute.Errorf(acaciaroute.CodeLogUnreached, "the log could not be reached")
	}
	if faults.Down {
		return faults, acaciaroute.Errorf(acaciaroute.CodeLogDown, "the log is down")
	}
	return faults, nil
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{}
		l.streams[name] = s
	}
	return s
}

// sleepContext waits for delay, or returns the error of ctx if ctx ends first.
func sleepContext(ctx context.Context, delay time.Duration) error {
	if delay <= 0 {
		return nil
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
