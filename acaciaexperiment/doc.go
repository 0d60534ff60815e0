// Package acaciaexperiment compares policies on fixed workloads in virtual time:
// the code that ships decides, over fakes of engines and of the network.
//
// Life span: process.
package acaciaexperiment
