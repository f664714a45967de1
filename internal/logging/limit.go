package logging

import (
	"fmt"
	"io"
	"sync"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond is how many lines a process writes over long.
	linesPerSecond = 50
	// lineBurst is how many lines a process may write at once.
	lineBurst = 500
)

// limitedWriter drops lines over a rate, so that a storm of events does not
// fill the log, and says how many were dropped.
type limitedWriter struct {
	out     io.Writer
	limiter *rate.Limiter

	mu      sync.Mutex
	dropped int
}

func newLimitedWriter(out io.Writer) *limitedWriter {
	return &limitedWriter{out: out, limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
}

// Write writes one line or drops it.
func (w *limitedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.limiter.Allow() {
		w.dropped++
		dropped.Add(1)
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
