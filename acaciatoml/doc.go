// Package acaciatoml reads checked TOML documents: unknown and missing keys are
// errors that name their line.
//
// Life span: version.
package acaciatoml
