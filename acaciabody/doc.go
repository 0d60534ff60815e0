// Package acaciabody reads the bodies of callers' requests within the memory and the time that they may have.
//
// Its state lives as long as the request.
package acaciabody
