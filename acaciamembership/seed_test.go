package acaciamembership

import "flag"

// A fixed seed gives the same result on every run; -rapid.seed sets another.
func init() {
	_ = flag.Set("rapid.seed", "1")
}
