package acaciachoice

import "flag"

// The fixed seed makes the property tests reproducible; -rapid.seed selects another.
func init() {
	_ = flag.Set("rapid.seed", "1")
}
