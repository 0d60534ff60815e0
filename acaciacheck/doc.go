// Package acaciacheck checks invariants against the merged events of all
// processes; docs/PROOFS.md states each invariant.
//
// Life span: process.
package acaciacheck
