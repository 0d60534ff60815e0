// Package acaciagossip exchanges messages of acaciapeer between the processes of the system: it sends each to a group of
// processes with what that group has yet to be told, receives the others' datagrams, and keeps the process's own
// registration in the store, by which those that start later find it. What a message means for a process is decided
// elsewhere.
//
// Its state lives as long as the process.
package acaciagossip
