// Package acaciacheck checks over the merged events of all processes what must
// always hold; docs/PROOFS.md states each invariant.
//
// Life span: process.
package acaciacheck
