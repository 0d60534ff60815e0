// Package acaciabatch estimates from observed tokens how much work an engine should hold at
// once: the size of its running batch and its prefill backlog.
//
// Its state lives as long as the process.
package acaciabatch
