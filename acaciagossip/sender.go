package acaciagossip

import (
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciapeer"
)

// Sender sends a process's messages to the others. It is not safe for concurrent use.
type Sender struct {
	members  *acaciapeer.Members
	socket   *Socket
	recorder *acaciaevent.Recorder
	// near is what the processes of the region are told, far what those of the others are.
	near, far *Outbox
	sequence  uint64
}

const (
	// minInterval is the shortest time between two messages to the other processes.
	minInterval = 20 * time.Millisecond
	// intervalPerProcess makes the interval grow with the number of processes, so that
	// the cost of messages does not grow with the square of that number.
	intervalPerProcess = 2 * time.Millisecond
)

// NewSender returns a sender that has sent nothing.
func NewSender(members *acaciapeer.Members, socket *Socket, recorder *acaciaevent.Recorder, near, far *Outbox) *Sender {
	return &Sender{members: members, socket: socket, recorder: recorder, near: near, far: far}
}

// Interval returns the time between two messages.
func (s *Sender) Interval() time.Duration {
	return max(minInterval, time.Duration(s.members.Count())*intervalPerProcess)
}

// SendAll makes the next messages tell all that there is to tell, because a process has started.
func (s *Sender) SendAll() {
	s.near.SendAll()
	s.far.SendAll()
}

// Send sends a message, with what each group has yet to be told, to those that are due to get one.
func (s *Sender) Send(message acaciapeer.Message, now time.Time) {
	s.sequence++
	message.Sequence = s.sequence
	near, far := s.members.NextTargets(now)
	s.sendTo(s.near, message, near, now)
	s.sendTo(s.far, message, far, now)
}

func (s *Sender) sendTo(group *Outbox, message acaciapeer.Message, addresses []string, now time.Time) {
	if len(addresses) == 0 {
		return
	}
	group.fill(&message, now)
	data, err := message.Encode(now)
	if err != nil {
		s.recorder.RecordCallFailure("encode a message to peers", acaciaevent.Event{}, err)
		return
	}
	s.socket.Send(data, addresses)
}
