// Package acaciaregistration decides which endpoints count: those that the store lists, those that are missing after an
// outage or a restore of the store and may register again, and those that have said that they are leaving. A store that
// was restored from a copy lists endpoints as they were before; what is known of an endpoint then holds against an older
// word. An Attester asks endpoints themselves which start is theirs.
//
// Its state lives as long as the process.
package acaciaregistration
