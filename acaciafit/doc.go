// Package acaciafit implements weighted linear regression in which older points lose
// weight. It serves models that predict a time from a size.
//
// Its state lives as long as the process.
package acaciafit
