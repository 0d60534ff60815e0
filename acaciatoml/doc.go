// Package acaciatoml decodes TOML documents strictly: unknown keys and missing
// required keys are errors that state their line.
//
// Its state lives as long as the version of the document.
package acaciatoml
