// Package acaciatarget parses and checks the targets that operators declare: services,
// classes and organisations.
//
// A value lives as long as its version of the targets.
package acaciatarget
