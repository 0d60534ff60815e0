// Package acaciaplot draws the measures of the experiment.
//
// Life span: process.
package acaciaplot
