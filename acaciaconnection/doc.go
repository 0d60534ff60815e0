// Package acaciaconnection bounds the connections of a server: their number, the memory of their buffers and of the
// heads that are being read, the time for a head, and the time for which they may be idle. The bounds may change
// while connections are open.
//
// Its state lives as long as the process, and that of a Conn as long as the connection.
package acaciaconnection
