package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// lineQueue is how many lines wait while nobody reads the output.
	lineQueue = 1024
	// closeTimeout bounds the writing of waiting lines at the end.
	closeTimeout = 200 * time.Millisecond
)

// dropped counts the lines that this process did not write.
var dropped atomic.Uint64

// DroppedLines returns how many lines this process did not write, because they came
// too fast or because nobody read them.
func DroppedLines() uint64 { return dropped.Load() }

// AsyncWriter writes lines in a task of its own, so that a reader that stands still
// holds nothing up. Lines for which there is no room are dropped and counted.
type AsyncWriter struct {
	out   io.Writer
	lines chan []byte
	lost  atomic.Uint64
	ended chan struct{}
}

// NewAsyncWriter starts the task. Close ends it.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: out, lines: make(chan []byte, lineQueue), ended: make(chan struct{})}
	var task conc.WaitGroup
	task.Go(a.writeLines)
	return a
}

// Write takes one line or drops it. It never waits and always succeeds.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.lost.Add(1)
		dropped.Add(1)
	}
	return len(line), nil
}

// writeLines writes the lines, and before one how many were lost.
func (a *AsyncWriter) writeLines() {
	defer close(a.ended)
	for line := range a.lines {
		if line == nil {
			return
		}
		if lost := a.lost.Swap(0); lost > 0 {
			line = append(fmt.Appendf(nil, "logging: %d lines were dropped\n", lost), line...)
		}
		// There is nowhere to tell that the log itself cannot be written.
		_, _ = a.out.Write(line)
	}
}

// Close writes the lines that wait, unless nobody reads them.
func (a *AsyncWriter) Close() {
	timeout := time.NewTimer(closeTimeout)
	defer timeout.Stop()
	select {
	case a.lines <- nil:
	case <-timeout.C:
		return
	}
	select {
	case <-a.ended:
	case <-timeout.C:
	}
}
