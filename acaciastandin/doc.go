// Package acaciastandin holds small stand-ins for the systems outside: the log
// service, the VM list, model engines, plain services and the weight store.
//
// Life span: process.
package acaciastandin
