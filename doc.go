// Package acaciaroute holds the interfaces between the scheduler and the services
// outside it, and the types that all of its packages share.
//
// Its state lives as long as the process. The interfaces are implemented in packages
// below this one, so that support for a new protocol is a new package and changes no
// scheduling decision.
package acaciaroute
