// Package acaciatarget parses and checks the targets that operators declare: services,
// classes and organisations.
//
// Its state lives as long as the version of the targets.
package acaciatarget
