// Package acaciaengine meets model engines that speak the usual protocol of
// model services, and plain HTTP services.
//
// Life span: connection.
package acaciaengine
