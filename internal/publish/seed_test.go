package publish_test

import (
	// Every run of the properties gives the same verdict.
	_ "github.com/mulberrybank/mulberrybank/internal/testseed"
)
