// Package acaciatoml decodes TOML documents strictly: unknown keys and missing
// required keys are errors that state their line.
//
// Life span: version.
package acaciatoml
