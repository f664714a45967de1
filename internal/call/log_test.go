package call_test

import (
	"bytes"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/logging"
)

// floodLines is more lines than the rate limit of a process admits at once, and more
// than the queue of an AsyncWriter holds.
const floodLines = 5000

// lockedBuffer is a buffer that several daemons write to.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// lines returns the lines that contain all texts.
func (b *lockedBuffer) lines(texts ...string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []string
	for line := range strings.Lines(b.text.String()) {
		missing := false
		for _, text := range texts {
			missing = missing || !strings.Contains(line, text)
		}
		if !missing {
			found = append(found, line)
		}
	}
	return found
}

// TestFailedCallIsLoggedAfterFloodOfOtherLines guards against lines of other kinds
// that use up the rate limit of the lines that tell why a call failed.
func TestFailedCallIsLoggedAfterFloodOfOtherLines(t *testing.T) {
	out := &lockedBuffer{}
	logger, err := logging.New(out, "debug")
	assert.NilError(t, err)
	m := newMesh(t, 1, config(withoutRetries), func(_ int, o *call.Options) { o.Logger = logger })
	for range floodLines {
		logging.ForComponent(logger, "membership").Info("host suspected")
	}
	unreachable := "127.0.0.1:1"
	m.nodes[0].address.Store(&unreachable)
	got := m.nodes[0].get(t, lookups)
	assert.Equal(t, got.status, http.StatusBadGateway)
	id := "call=" + got.header.Get(call.HeaderCall)
	assert.Equal(t, len(out.lines("attempt failed", id, "again=false")), 1)
	assert.Equal(t, len(out.lines("call failed", id)), 1)
}
