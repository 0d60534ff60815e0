// Package acaciasite holds what operators declare for a deployment (routes, services,
// organisations) and what endpoints say of themselves.
//
// Life span: version.
package acaciasite
