// Package acaciapeer keeps the processes of the system aware of each other: which live,
// what they run and what they have used. It decides whom to tell and whose word counts;
// the datagrams are sent by its owner.
//
// Life span: process.
package acaciapeer
