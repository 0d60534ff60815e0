package acaciaprocess

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Watchdog ends a stream whose other end has been silent.
type Watchdog struct {
	timer *time.Timer
}

const (
	// HeartbeatInterval is how long an open stream is quiet before its sender says
	// that it is alive. Idle connections carry nothing.
	HeartbeatInterval = 5 * time.Second
	// SilenceTimeout is how long the reader of a stream waits for anything.
	SilenceTimeout = 10 * time.Second

	// unacknowledgedTimeout is how long sent bytes may stay unacknowledged before
	// their connection is closed.
	unacknowledgedTimeout = 10 * time.Second
)

// keepAlive finds idle connections whose other end is gone.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     2 * time.Minute,
	Interval: 10 * time.Second,
	Count:    3,
}

// NewWatchdog returns a context that ends when a stream is silent for the time first,
// or later for SilenceTimeout.
func NewWatchdog(ctx context.Context, first time.Duration) (context.Context, context.CancelFunc, *Watchdog) {
	watched, cancel := context.WithCancel(ctx)
	w := &Watchdog{timer: time.AfterFunc(first, cancel)}
	return watched, func() {
		w.timer.Stop()
		cancel()
	}, w
}

// Pause stops the watch while the reader is busy with what the stream has brought.
func (w *Watchdog) Pause() {
	w.timer.Stop()
}

// Alive notes that the stream has brought something, and that the reader waits for more.
func (w *Watchdog) Alive() {
	w.timer.Reset(SilenceTimeout)
}

// limitUnacknowledged closes connections whose other end does not take what is sent.
func limitUnacknowledged(_, _ string, connection syscall.RawConn) error {
	var failed error
	err := connection.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}
