// Package acaciaprefix hashes the leading blocks of prompts and predicts which of them
// an engine has in its prefix cache.
//
// Its state lives as long as the process.
package acaciaprefix
