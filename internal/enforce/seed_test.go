package enforce_test

import (
	// Seeds the property tests, so that every run gives the same result.
	_ "github.com/mulberrybank/mulberrybank/internal/testseed"
)
