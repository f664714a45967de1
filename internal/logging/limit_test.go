package logging_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/logging"
)

// floodLines is more lines than the rate limit of a kind admits at once, and more than
// the queue of an AsyncWriter holds.
const floodLines = 5000

// flood logs lines of every kind but Failure.
func flood(logger *logrus.Logger) {
	for _, kind := range []logging.Kind{logging.State, logging.Decision, logging.Rejection} {
		log := logging.OfKind(logging.ForComponent(logger, "call"), kind)
		for range floodLines {
			log.Info("something else")
		}
	}
}

// logFailures logs failures of calls with the numbers from 0.
func logFailures(logger *logrus.Logger, count int) {
	log := logging.OfKind(logging.ForComponent(logger, "call"), logging.Failure)
	for number := range count {
		log.WithField("call", number).Info("call failed")
	}
}

// checkFailures checks that the log contains the lines of logFailures.
func checkFailures(t *testing.T, log string, count int) {
	t.Helper()
	for number := range count {
		assert.Assert(t, strings.Contains(log, fmt.Sprintf(`msg="call: call failed" call=%d `, number)), "call %d", number)
	}
}

func TestFloodOfOtherKindsDropsNoFailure(t *testing.T) {
	const failures = 2000
	var out bytes.Buffer
	logger, err := logging.New(&out, "info")
	assert.NilError(t, err)
	flood(logger)
	logFailures(logger, failures)
	checkFailures(t, out.String(), failures)
}

// TestBlockedOutputKeepsSpaceForFailures guards against a queue that is full of other
// lines when calls fail while nobody reads the output.
func TestBlockedOutputKeepsSpaceForFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const failures = 500
		out := &blockedWriter{unblocked: make(chan struct{})}
		writer := logging.NewAsyncWriter(out)
		logger, err := logging.New(writer, "info")
		assert.NilError(t, err)
		before := logging.DroppedLines()
		flood(logger)
		logFailures(logger, failures)
		assert.Assert(t, logging.DroppedLines() > before)
		close(out.unblocked)
		synctest.Wait()
		writer.Close()
		checkFailures(t, out.text.String(), failures)
	})
}

// TestDroppedLinesAreCountedByKind guards against drops of which the log does not say
// how many and which.
func TestDroppedLinesAreCountedByKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		logger, err := logging.New(&out, "info")
		assert.NilError(t, err)
		before := logging.DroppedLines()
		logFailures(logger, floodLines)
		dropped := logging.DroppedLines() - before
		assert.Equal(t, int(dropped)+strings.Count(out.String(), "\n"), floodLines)
		out.Reset()
		time.Sleep(time.Second)
		logFailures(logger, 1)
		notice := fmt.Sprintf(`level=warning msg="logging: lines were dropped" dropped=%d kind=failure part=logging`, dropped)
		assert.Assert(t, strings.Contains(out.String(), notice), out.String())
	})
}
