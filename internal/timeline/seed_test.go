package timeline

import (
	// Fixes the seed of the property tests, so that their results are reproducible.
	_ "github.com/mulberrybank/mulberrybank/internal/testseed"
)
