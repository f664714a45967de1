package logging_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/logging"
)

// blockedWriter blocks every write until unblocked is closed.
type blockedWriter struct {
	unblocked chan struct{}
	mu        sync.Mutex
	text      bytes.Buffer
	writes    int
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblocked
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writes++
	return w.text.Write(p)
}

// Lines that wait together are written together: each write costs a system call.
func TestQueuedLinesAreWrittenTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lines = 500
		out := &blockedWriter{unblocked: make(chan struct{})}
		writer := logging.NewAsyncWriter(out)
		for range lines {
			_, err := writer.Write([]byte("a line\n"))
			assert.NilError(t, err)
		}
		synctest.Wait()
		close(out.unblocked)
		writer.Close()
		assert.Equal(t, strings.Count(out.text.String(), "a line\n"), lines)
		assert.Assert(t, out.writes <= 2, "%d writes", out.writes)
	})
}

// TestBlockedOutputDoesNotBlockWrites guards against an output that blocks the
// process: while it is blocked, lines that do not fit in the queue must be dropped
// and counted.
func TestBlockedOutputDoesNotBlockWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lines = 5000
		out := &blockedWriter{unblocked: make(chan struct{})}
		writer := logging.NewAsyncWriter(out)
		before := logging.DroppedLines()
		for range lines {
			_, err := writer.Write([]byte("a line\n"))
			assert.NilError(t, err)
		}
		dropped := logging.DroppedLines() - before
		assert.Assert(t, dropped > 0 && dropped < lines, "%d lines dropped", dropped)
		close(out.unblocked)
		synctest.Wait()
		_, err := writer.Write([]byte("the last\n"))
		assert.NilError(t, err)
		writer.Close()
		text := out.text.String()
		assert.Assert(t, strings.Contains(text, "lines were dropped"))
		assert.Assert(t, strings.HasSuffix(text, "the last\n"))
	})
}
