package call_test

import (
	// Fixes the seed of the property tests, so that every run gives the same result.
	_ "github.com/mulberrybank/mulberrybank/internal/testseed"
)
