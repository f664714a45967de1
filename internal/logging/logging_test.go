package logging_test

import (
	"bytes"
	standardlog "log"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/logging"
)

func TestComponentIsThePrefixOfTheMessage(t *testing.T) {
	var out bytes.Buffer
	log, err := logging.New(&out, "info")
	assert.NilError(t, err)
	logging.ForComponent(log, "distribute").Info("the source is accra-1")
	assert.Assert(t, strings.Contains(out.String(), `msg="distribute: the source is accra-1"`), out.String())
}

func TestUnknownLevelIsRejected(t *testing.T) {
	_, err := logging.New(&bytes.Buffer{}, "loud")
	assert.ErrorContains(t, err, "loud")
}

// TestBurstIsLimited guards against a burst of events that fills the log: of many
// lines at once only those within the rate limit may be written, and the log must
// say that lines were dropped.
func TestBurstIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lines, maxLines = 10_000, 1_000
		var out bytes.Buffer
		log, err := logging.New(&out, "info")
		assert.NilError(t, err)
		logger := logging.ForComponent(log, "peer")
		for range lines {
			logger.Info("connection failed")
		}
		written := strings.Count(out.String(), "\n")
		assert.Assert(t, written <= maxLines, "%d lines written", written)
		time.Sleep(time.Second)
		logger.Info("connection established")
		assert.Assert(t, strings.Contains(out.String(), "lines were dropped"))
		assert.Assert(t, strings.Contains(out.String(), "connection established"))
	})
}

// TestLibraryLinesAreBoundedAndStructured has a library log what it received.
func TestLibraryLinesAreBoundedAndStructured(t *testing.T) {
	// 256 bytes of the library, each escaped as four, and the other fields.
	const maxLine = 4*256 + 128
	var out bytes.Buffer
	logger, err := logging.New(&out, "info")
	assert.NilError(t, err)
	restore := logging.CaptureStandard(logger)
	defer restore()
	standardlog.Printf("unsolicited response: %q", strings.Repeat("\x00\n", 4<<10))
	line := out.String()
	assert.Assert(t, strings.Contains(line, `level=warning msg="library: unsolicited response`), line)
	assert.Equal(t, strings.Count(line, "\n"), 1)
	assert.Assert(t, len(line) <= maxLine, "%d bytes", len(line))
}
