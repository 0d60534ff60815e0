// Package acaciachoice decides at an entry which agents a request asks for a
// place, which grant it takes and when it is shed.
//
// Life span: request.
package acaciachoice
