// Package acaciawire holds the messages between the system's own processes,
// generated from proto/acacia.proto, and their conversion to shared types.
//
// Life span: connection.
package acaciawire
