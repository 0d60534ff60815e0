// Package acaciafollow follows topics of the store: a Follower reads a snapshot of its topic and then the changes after
// it, and reports both, also which snapshots are of another state of the store. An EraWatch tells all followers of a
// process of such a state as soon as one of them finds it, and a Refresher lets others wait for a read.
//
// Its state lives as long as the process.
package acaciafollow
