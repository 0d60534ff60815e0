// Package acaciawire holds the messages that the system's processes exchange,
// generated from proto/acacia.proto, and converts them to and from the shared types.
//
// Life span: connection.
package acaciawire
