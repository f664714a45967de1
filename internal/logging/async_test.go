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

// blockedWriter takes nothing until it is opened.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// TestBlockedOutputHoldsNothingUp writes while nobody reads. The lines beyond
// the room for them are dropped and counted.
func TestBlockedOutputHoldsNothingUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lines = 5000
		out := &blockedWriter{open: make(chan struct{})}
		writer := logging.NewAsyncWriter(out)
		before := logging.DroppedLines()
		for range lines {
			_, err := writer.Write([]byte("a line\n"))
			assert.NilError(t, err)
		}
		lost := logging.DroppedLines() - before
		assert.Assert(t, lost > 0 && lost < lines, "%d lost", lost)
		close(out.open)
		synctest.Wait()
		_, err := writer.Write([]byte("the last\n"))
		assert.NilError(t, err)
		writer.Close()
		text := out.text.String()
		assert.Assert(t, strings.Contains(text, "lines were dropped"))
		assert.Assert(t, strings.HasSuffix(text, "the last\n"))
	})
}
