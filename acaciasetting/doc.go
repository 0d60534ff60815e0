// Package acaciasetting reads the settings of one process: its addresses, its
// place and where it finds the platform.
//
// Life span: process.
package acaciasetting
