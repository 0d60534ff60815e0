package acaciaprocess

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Watchdog cancels the context of a stream on which nothing arrives for too long.
type Watchdog struct {
	timer *time.Timer
}

const (
	// HeartbeatInterval is how long an open stream may be quiet before its sender
	// writes a heartbeat. A connection without open streams carries none.
	HeartbeatInterval = 5 * time.Second
	// SilenceTimeout is how long the reader of a stream waits for data or a heartbeat
	// before it treats the sender as failed.
	SilenceTimeout = 10 * time.Second

	// unacknowledgedTimeout is how long sent bytes may stay unacknowledged before
	// the kernel closes their connection.
	unacknowledgedTimeout = 10 * time.Second
)

// keepAliveConfig makes the kernel probe idle connections and close those whose other
// end does not answer.
var keepAliveConfig = net.KeepAliveConfig{
	Enable:   true,
	Idle:     2 * time.Minute,
	Interval: 10 * time.Second,
	Count:    3,
}

// NewWatchdog returns a context that is cancelled when nothing arrives on a stream within
// firstTimeout, or within SilenceTimeout after a call of Reset.
func NewWatchdog(ctx context.Context, firstTimeout time.Duration) (context.Context, context.CancelFunc, *Watchdog) {
	watchedCtx, cancel := context.WithCancel(ctx)
	w := &Watchdog{timer: time.AfterFunc(firstTimeout, cancel)}
	return watchedCtx, func() {
		w.timer.Stop()
		cancel()
	}, w
}

// Pause stops the timer while the reader processes what it has received.
func (w *Watchdog) Pause() {
	w.timer.Stop()
}

// Reset restarts the timer after something has arrived on the stream and the reader
// waits for more.
func (w *Watchdog) Reset() {
	w.timer.Reset(SilenceTimeout)
}

// setTCPUserTimeout sets TCP_USER_TIMEOUT on a socket, so that the kernel closes the
// connection when the other end does not acknowledge sent data. It is a Control function
// of net.Dialer and net.ListenConfig.
func setTCPUserTimeout(_, _ string, connection syscall.RawConn) error {
	var optionErr error
	err := connection.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}
