// Package acaciaexperiment compares scheduling policies on fixed workloads in virtual
// time. It runs the production code of entries and agents against simulated engines and
// a simulated network.
//
// Its state lives as long as the process.
package acaciaexperiment
