package acaciaconnection

import (
	"math"
	"syscall"
)

// reservedFDs are the descriptors of a process that are reserved for files.
const reservedFDs = 200

// ProcessFDs returns how many descriptors the process may have: what its settings say, or else what the system
// allows, zero if that can't be found out.
func ProcessFDs(configured int) int {
	if configured > 0 {
		return configured
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// Share returns how many connections a share of a process's sockets is, at least one. It returns zero, for no bound,
// if the number of descriptors is not known.
func Share(maxFDs int, share float64) int {
	if maxFDs <= 0 {
		return 0
	}
	return max(1, int(share*float64(maxFDs-reservedFDs)))
}
