package quota

import (
	// Fixes the random seed, so that every run of the property tests gives the
	// same result.
	_ "github.com/mulberrybank/mulberrybank/internal/testseed"
)
