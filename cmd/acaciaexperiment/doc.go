// Command acaciaexperiment compares scheduling policies on fixed workloads in
// virtual time.
package main
