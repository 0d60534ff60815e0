// Package acaciamembership decides which VMs a process works with, from the VM lists that
// it reads from the platform and the times of the reads.
//
// Its state lives as long as the process.
package acaciamembership
