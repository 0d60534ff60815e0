package acaciamemory

import (
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// Limits are the bounds of the holders of memory in a process, in bytes; zero stands for no bound.
type Limits struct {
	// Requests bounds the heads and bodies of callers' requests, Answers what is held of answers, and
	// Connections the buffers of connections and the heads that are being read.
	Requests    int64
	Answers     int64
	Connections int64
	// PeerMessages bounds the messages of other processes of the system, PeerConnections the buffers of their
	// connections, and Keys the states of idempotency keys.
	PeerMessages    int64
	PeerConnections int64
	Keys            int64
}

const (
	// The shares of a process's memory. Together those of one process stay below the limit of the Go runtime (0.6), so
	// that the rest of the live memory and some garbage fit in, too.
	requestShare    = 0.2
	answerShare     = 0.1
	connectionShare = 0.15
	// An entry holds no answers.
	entryMessageShare        = 0.05
	entryPeerConnectionShare = 0.1
	keyShare                 = 0.05
	// The peers of an agent are its only callers. With 256 MB their share has room for 1,000 connections.
	agentMessageShare        = 0.2
	agentPeerConnectionShare = 0.2
	agentAnswerShare         = 0.15

	controlGroupLimit = "/sys/fs/cgroup/memory.max"
)

// Divide returns the limits for a gateway that may use a number of bytes; zero stands for no limits.
func Divide(processBytes int64) Limits {
	return Limits{Requests: part(processBytes, requestShare), Answers: part(processBytes, answerShare), Connections: part(processBytes, connectionShare)}
}

// DivideEntry does the same for an entry.
func DivideEntry(processBytes int64) Limits {
	return Limits{
		Requests: part(processBytes, requestShare), Connections: part(processBytes, connectionShare), Keys: part(processBytes, keyShare),
		PeerMessages: part(processBytes, entryMessageShare), PeerConnections: part(processBytes, entryPeerConnectionShare),
	}
}

// DivideAgent does the same for an agent.
func DivideAgent(processBytes int64) Limits {
	return Limits{
		Answers: part(processBytes, agentAnswerShare), PeerMessages: part(processBytes, agentMessageShare),
		PeerConnections: part(processBytes, agentPeerConnectionShare),
	}
}

func part(bytes int64, share float64) int64 {
	return int64(share * float64(bytes))
}

// ProcessBytes returns the memory that the process may use: what its settings say, or else what the system
// has, zero if that can't be found out.
func ProcessBytes(configured int64) int64 {
	if configured > 0 {
		return configured
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0
	}
	bytes := int64(info.Totalram) * int64(info.Unit)
	data, err := os.ReadFile(controlGroupLimit)
	if err != nil {
		return bytes
	}
	if limit, err := strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64); err == nil {
		bytes = min(bytes, limit)
	}
	return bytes
}
