// Package acaciasite contains the types for what operators declare for a deployment (routes,
// services, organisations), for the endpoints' registrations, and for callers' requests.
//
// Its state lives as long as the version of the configuration.
package acaciasite
