// Package acaciacheck checks invariants against the merged events of all
// processes; docs/PROOFS.md states each invariant.
//
// Its state lives as long as the process.
package acaciacheck
