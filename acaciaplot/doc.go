// Package acaciaplot draws the experiment's results as plots.
//
// Its state lives as long as the process.
package acaciaplot
