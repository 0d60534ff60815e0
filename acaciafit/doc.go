// Package acaciafit fits a line through weighted points of which the older ones fade. It
// serves whatever learns a time from a size.
//
// Life span: process.
package acaciafit
