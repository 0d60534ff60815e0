// Package acaciasetting parses and checks the settings of one process: its addresses,
// its data centre and region, its role, and the addresses of the platform's services.
//
// Its state lives as long as the process.
package acaciasetting
