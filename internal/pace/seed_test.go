package pace_test

import (
	// Seeds rapid, so that every run of the property tests draws the same values.
	_ "github.com/mulberrybank/mulberrybank/internal/testseed"
)
