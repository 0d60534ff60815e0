// Package acaciacrash finds out what crashes endpoints: a segment that the prompts of several
// requests share, or the content of one request that is sent again and again.
//
// It has no input or output. A process records what ran on an endpoint that crashed and how far the answers had
// come, and how far answers to requests with the same traits come otherwise; processes exchange both and decide alike.
//
// Its state lives as long as the process.
package acaciacrash
