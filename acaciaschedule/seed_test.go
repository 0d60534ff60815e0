package acaciaschedule

import "flag"

// A fixed seed gives the same verdict on every run; -rapid.seed chooses another.
func init() {
	_ = flag.Set("rapid.seed", "1")
}
