// Package acaciamembership decides which VMs a process reckons with, from what it reads
// of the platform's list and when.
//
// Life span: process.
package acaciamembership
