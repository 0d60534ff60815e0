// Package acaciatarget reads the targets that operators declare: services,
// classes and organisations.
//
// Life span: version.
package acaciatarget
