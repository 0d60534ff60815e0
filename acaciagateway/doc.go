// Package acaciagateway implements the gateway, which runs on the entry VMs of a platform
// whose endpoints are called directly. It accepts callers' requests, gets an endpoint for
// each from acaciaschedule and forwards the request to that endpoint. All gateways have the
// same role; they exchange their load in messages of acaciapeer.
//
// Its state lives as long as the process, except in exchange.go and relay.go, where
// it lives as long as the request.
package acaciagateway
