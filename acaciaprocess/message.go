package acaciaprocess

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciabody"
	"github.com/acaciaroute/acaciaroute/acaciamemory"
)

type (
	// message is what the message of a call holds of the memory for messages, until its last holder releases it.
	message struct {
		memory  *acaciamemory.Request
		holders atomic.Int32
	}

	// messageBody is a body that has been read whole. It drops its bytes as soon as the handler has read them.
	messageBody struct {
		data *bytes.Reader
	}

	messageKey struct{}
)

const (
	// messageBytes is what a call costs besides its head and message: goroutines and records.
	messageBytes = 16 << 10
	// messageCostFactor is how many bytes a byte of a head or a message costs until it is decoded: it is read, copied by
	// the decoder, and a part of the decoded message.
	messageCostFactor = 3
	// messageTimeout bounds how long a message may take to arrive; its sender waits no longer for a reply.
	messageTimeout = SilenceTimeout
	// replyTimeout bounds how long a reply that is no stream may take to be sent; the sender of its call waits no longer.
	replyTimeout = SilenceTimeout

	// maxUnreadRefusals bounds the refusals that are being sent, which hold no memory for messages. Calls that are refused
	// beyond it end without a reply, so that their senders ask what became of them.
	maxUnreadRefusals = 256

	// codeField is the field of an error's metadata that holds its code.
	codeField = "Acacia-Code"
)

var (
	errorWriter = connect.NewErrorWriter()

	connectCodes = map[acaciaroute.Code]connect.Code{
		acaciaroute.CodeBadRequest:   connect.CodeInvalidArgument,
		acaciaroute.CodeBodyTooLarge: connect.CodeResourceExhausted,
		acaciaroute.CodeNoMemory:     connect.CodeResourceExhausted,
		acaciaroute.CodeBodyTimeout:  connect.CodeDeadlineExceeded,
	}
)

// limitMessages wraps the handler of a peer server so that it gets only messages that have been read whole, within the memory
// for messages. A call whose message is refused has had no effect.
func (p *Process) limitMessages(next http.Handler) http.Handler {
	refusals := make(chan struct{}, maxUnreadRefusals)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == http.NoBody {
			setReplyDeadline(w)
			next.ServeHTTP(w, r)
			return
		}
		m := &message{memory: acaciabody.Begin(p.Messages, peerAddress(r), w, func() {})}
		defer m.hold()()
		data, refusal := p.readMessage(w, r, m.memory)
		if refusal != nil {
			m.memory.Release()
			acaciabody.CloseAfterError(w, r)
			select {
			case refusals <- struct{}{}:
				defer func() { <-refusals }()
			default:
				panic(http.ErrAbortHandler)
			}
			setReplyDeadline(w)
			_ = errorWriter.Write(w, r, refusalError(refusal))
			flushMultiplexed(w, r)
			return
		}
		if !streamsReplies(r.Header) {
			setReplyDeadline(w)
		}
		r.Body = &messageBody{data: bytes.NewReader(data)}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), messageKey{}, m)))
		flushMultiplexed(w, r)
	})
}

// flushMultiplexed sends the rest of a reply over HTTP/2, so that its call counts until the client has taken it: on one connection
// thousands of calls may wait for that. Over HTTP/1 one call does, whose connection counts.
func flushMultiplexed(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor > 1 {
		_ = http.NewResponseController(w).Flush()
	}
}

// readMessage reads a message, or returns why it is refused.
func (p *Process) readMessage(w http.ResponseWriter, r *http.Request, memory *acaciamemory.Request) ([]byte, *acaciaroute.Error) {
	if compressed(r.Header) {
		return nil, acaciaroute.Errorf(acaciaroute.CodeBadRequest, "compressed messages are not accepted")
	}
	control := http.NewResponseController(w)
	// More than the budget would exceed the limit of the Go runtime by its copies, also if it is the only message.
	maxBytes := p.Memory.PeerMessages
	source := acaciabody.Source{
		Body: r.Body, Announced: r.ContentLength, MaxBytes: maxBytes,
		SetReadDeadline: control.SetReadDeadline, Deadline: time.Now().Add(messageTimeout),
		Memory: memory, HeadBytes: messageBytes + messageCostFactor*acaciabody.HeadBytes(r), CostFactor: messageCostFactor,
	}
	if maxBytes > 0 {
		source.Body = http.MaxBytesReader(w, r.Body, maxBytes)
	}
	data, err := source.Read(r.Context())
	if err == nil && !memory.Enter(acaciamemory.PhaseRunning) {
		err = acaciabody.ErrNoMemory
	}
	switch {
	case err == nil:
		_ = control.SetReadDeadline(time.Time{})
		return data, nil
	case errors.Is(err, acaciabody.ErrTooLarge):
		return nil, acaciaroute.Errorf(acaciaroute.CodeBodyTooLarge, "the message is longer than %d bytes", maxBytes)
	case errors.Is(err, acaciabody.ErrNoMemory):
		return nil, acaciaroute.Errorf(acaciaroute.CodeNoMemory, "messages hold too much memory, and this one gave way")
	case errors.Is(err, acaciabody.ErrTooSlow):
		return nil, acaciaroute.Errorf(acaciaroute.CodeBodyTimeout, "the message did not arrive within %s", messageTimeout)
	}
	return nil, &acaciaroute.Error{Code: acaciaroute.CodeBadRequest, Detail: "the message cannot be read", Err: err}
}

// compressed reports whether a message is compressed, which those of other processes never are: its size would not tell what
// it holds.
func compressed(header http.Header) bool {
	for _, name := range []string{"Content-Encoding", "Connect-Content-Encoding", "Grpc-Encoding"} {
		if encoding := header.Get(name); encoding != "" && encoding != "identity" {
			return true
		}
	}
	return false
}

// setReplyDeadline bounds how long a reply that is no stream may take to be sent. A client of HTTP/2 that opens no window for
// the reply acknowledges everything, so that unacknowledgedTimeout never ends the call.
func setReplyDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(replyTimeout))
}

// streamsReplies reports whether a call may have many replies. Its content type names how messages are framed
// (application/connect+proto, application/grpc); that of a call with one reply names only their encoding.
func streamsReplies(header http.Header) bool {
	contentType := header.Get("Content-Type")
	return strings.HasPrefix(contentType, "application/connect+") || strings.HasPrefix(contentType, "application/grpc")
}

// peerAddress returns the IP of the process that sends a message.
func peerAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// refusalError returns the error of a call whose message is refused.
func refusalError(refusal *acaciaroute.Error) error {
	err := connect.NewError(connectCodes[refusal.Code], refusal)
	err.Meta().Set(codeField, strconv.Itoa(int(refusal.Code)))
	return err
}

// RefusalCode returns the code with which a process has refused the message of a call that had no effect for that reason, and
// CodeOK if err is any other error.
func RefusalCode(err error) acaciaroute.Code {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) || !connect.IsWireError(err) {
		return acaciaroute.CodeOK
	}
	number, err := strconv.Atoi(connectErr.Meta().Get(codeField))
	if code := acaciaroute.Code(number); err == nil && code.NotRun() {
		return code
	}
	return acaciaroute.CodeOK
}

// HoldMessage keeps the memory of a call's message, of which size bytes are still in use, until the returned function is
// called, also after the end of the call.
func HoldMessage(ctx context.Context, size int) func() {
	m, ok := ctx.Value(messageKey{}).(*message)
	if !ok {
		return func() {}
	}
	// Less than before is always granted.
	m.memory.Resize(ctx, int64(messageBytes+size))
	return m.hold()
}

// ReleaseMessage releases the memory of a call's message, of which nothing of size is in use any more.
func ReleaseMessage(ctx context.Context) {
	if m, ok := ctx.Value(messageKey{}).(*message); ok {
		m.memory.Release()
	}
}

// hold adds a holder, which calls the returned function at its end.
func (m *message) hold() func() {
	m.holders.Add(1)
	return func() {
		if m.holders.Add(-1) == 0 {
			m.memory.Release()
		}
	}
}

// Read implements io.Reader.
func (b *messageBody) Read(data []byte) (int, error) {
	if b.data == nil {
		return 0, io.EOF
	}
	n, err := b.data.Read(data)
	if b.data.Len() == 0 {
		b.data = nil
	}
	return n, err
}

// Close implements io.Closer.
func (b *messageBody) Close() error {
	b.data = nil
	return nil
}
