package distribute

import (
	// A fixed seed makes every run of the property tests give the same result.
	_ "github.com/mulberrybank/mulberrybank/internal/testseed"
)
