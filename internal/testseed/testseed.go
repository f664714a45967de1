// Package testseed fixes the random seed of property tests, so that every run
// gives the same result. Test packages import it for its side effect; the flag
// -rapid.seed still overrides the seed.
package testseed

import (
	"flag"
	"fmt"

	// Registers the flag that init sets.
	_ "pgregory.net/rapid"
)

// Seed is the seed of every property test.
const Seed = 20261204

func init() {
	if err := flag.Set("rapid.seed", fmt.Sprint(Seed)); err != nil {
		panic(fmt.Sprintf("set the seed of property tests: %v", err))
	}
}
