package logging_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/logging"
)

func TestPartIsTheFixedPrefix(t *testing.T) {
	var out bytes.Buffer
	log, err := logging.New(&out, "info")
	assert.NilError(t, err)
	logging.ForComponent(log, "distribute").Info("the source is accra-1")
	assert.Assert(t, strings.Contains(out.String(), `msg="distribute: the source is accra-1"`), out.String())
}

func TestUnknownLevelIsRefused(t *testing.T) {
	_, err := logging.New(&bytes.Buffer{}, "loud")
	assert.ErrorContains(t, err, "loud")
}

// TestStormIsBounded writes far more lines than the rate allows.
func TestStormIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lines, bound = 10_000, 1_000
		var out bytes.Buffer
		log, err := logging.New(&out, "info")
		assert.NilError(t, err)
		part := logging.ForComponent(log, "peer")
		for range lines {
			part.Info("a connection failed")
		}
		written := strings.Count(out.String(), "\n")
		assert.Assert(t, written <= bound, "%d lines", written)
		time.Sleep(time.Second)
		part.Info("all is well")
		assert.Assert(t, strings.Contains(out.String(), "lines were dropped"))
		assert.Assert(t, strings.Contains(out.String(), "all is well"))
	})
}
