// Package acaciaplot draws the experiment's results as plots.
//
// Life span: process.
package acaciaplot
