// Package acaciasite contains the types for what operators declare for a deployment (routes,
// services, organisations), for the endpoints' registrations, and for callers' requests.
//
// Its state lives as long as what it describes: a Configuration as long as its version, an
// Endpoint as long as the registration, a Request as long as the caller's request.
package acaciasite
