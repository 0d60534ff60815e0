// Package acaciawire holds the messages that the system's processes exchange,
// generated from proto/acacia.proto, and converts them to and from the shared types.
//
// Its state lives as long as the connection.
package acaciawire
