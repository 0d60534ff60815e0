// Package acaciagateway is the program that stands on the entry VMs of a platform whose
// endpoints are called directly: it takes callers' requests, asks acaciaschedule for a
// place and passes the request to the endpoint. All gateways are alike; what each runs is
// told to the others by acaciapeer.
//
// Life span: process, but for exchange.go and relay.go, which live for a request.
package acaciagateway
