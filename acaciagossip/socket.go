package acaciagossip

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acacialoop"
	"github.com/acaciaroute/acaciaroute/acaciapeer"
)

// Socket sends and receives messages as datagrams. Its other methods must not be called before Open has succeeded.
type Socket struct {
	recorder *acaciaevent.Recorder
	conn     *net.UDPConn
}

// maxMessageBytes bounds the size of a received message.
const maxMessageBytes = 60 << 10

// NewSocket returns a socket that is not open.
func NewSocket(recorder *acaciaevent.Recorder) *Socket {
	return &Socket{recorder: recorder}
}

// Open opens the socket at an address.
func (s *Socket) Open(ctx context.Context, address string) error {
	conn, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp4", address)
	if err != nil {
		return err
	}
	s.conn = conn.(*net.UDPConn)
	return nil
}

// Close closes the socket.
func (s *Socket) Close() error {
	return s.conn.Close()
}

// Send sends an encoded message to addresses.
func (s *Socket) Send(data []byte, addresses []string) {
	for _, address := range addresses {
		destination, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			continue
		}
		if _, err := s.conn.WriteToUDP(data, destination); err != nil && !errors.Is(err, net.ErrClosed) {
			s.recorder.RecordCallFailure("send a message to a peer", acaciaevent.Event{Endpoint: address}, err)
		}
	}
}

// Receive calls handle with each message of another process and its sender until ctx ends.
func (s *Socket) Receive(ctx context.Context, handle func(message acaciapeer.Message, from string)) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.SetReadDeadline(time.Now()) })
	defer stop()
	buffer := make([]byte, maxMessageBytes)
	for {
		n, from, err := s.conn.ReadFromUDP(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.recorder.RecordCallFailure("receive a message from a peer", acaciaevent.Event{}, err)
			acacialoop.Sleep(ctx, minInterval)
			continue
		}
		message, err := acaciapeer.Decode(buffer[:n], time.Now())
		if err != nil {
			s.recorder.RecordCallFailure("decode a message from a peer", acaciaevent.Event{Endpoint: from.String()}, err)
			continue
		}
		handle(message, from.String())
	}
}
