package acaciakey

import "flag"

// A fixed seed makes the property tests reproducible; -rapid.seed overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}
