// Package acaciastandin provides small stand-ins for the external systems: the log
// service, the VM list, model engines, plain services and the weight store.
//
// Its state lives as long as the process.
package acaciastandin
