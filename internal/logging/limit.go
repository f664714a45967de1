package logging

import (
	"fmt"
	"io"
	"sync"

	"golang.org/x/time/rate"
)

const (
	// maxLinesPerSecond is the sustained rate of lines of a process.
	maxLinesPerSecond = 50
	// maxBurstLines is the number of lines that may exceed that rate at once.
	maxBurstLines = 500
)

// rateLimitedWriter drops lines that exceed a rate limit, so that a burst of
// events does not fill the log, and writes how many it dropped.
type rateLimitedWriter struct {
	out     io.Writer
	limiter *rate.Limiter

	mu      sync.Mutex
	dropped int
}

func newRateLimitedWriter(out io.Writer) *rateLimitedWriter {
	return &rateLimitedWriter{out: out, limiter: rate.NewLimiter(maxLinesPerSecond, maxBurstLines)}
}

// Write writes one line, or drops it when the rate limit is exceeded. The first
// line after dropped ones is preceded by their number.
func (w *rateLimitedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.limiter.Allow() {
		w.dropped++
		droppedLines.Add(1)
		return len(line), nil
	}
	if w.dropped > 0 {
		if _, err := fmt.Fprintf(w.out, "logging: %d lines were dropped\n", w.dropped); err != nil {
			return 0, err
		}
		w.dropped = 0
	}
	return w.out.Write(line)
}
