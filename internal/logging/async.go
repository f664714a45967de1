package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// queueCapacity is the number of lines that can wait to be written.
	queueCapacity = 1024
	// reservedLines is the part of the queue that is reserved for Failure lines.
	reservedLines = queueCapacity / 2
	// maxWriteBytes is the size from which on no further line joins a write.
	maxWriteBytes = 32 << 10
	// flushTimeout limits how long Close waits for queued lines to be written.
	flushTimeout = 200 * time.Millisecond
)

// droppedLines counts the dropped lines of all writers of this process.
var droppedLines atomic.Uint64

// DroppedLines returns how many lines this process dropped, because they exceeded
// the rate limit or because the queue of an AsyncWriter was full.
func DroppedLines() uint64 { return droppedLines.Load() }

// AsyncWriter writes lines in a separate task, so that a blocked output does not
// block the caller. Lines that do not fit in the queue are dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewAsyncWriter starts a task that writes to out until Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, queue: make(chan []byte, queueCapacity), done: make(chan struct{})}
	var task conc.WaitGroup
	task.Go(w.run)
	return w
}

// free returns how many more lines the queue can hold.
func (w *AsyncWriter) free() int { return cap(w.queue) - len(w.queue) }

// Write queues a copy of one line, or drops it when the queue is full. It never
// blocks and returns no error. An empty line is ignored.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
		droppedLines.Add(1)
	}
	return len(line), nil
}

// run writes queued lines until the nil line of Close. Lines that are queued together
// are written together. After lines were dropped, their number precedes the next line.
func (w *AsyncWriter) run() {
	defer close(w.done)
	var text []byte
	closing := false
	for line := range w.queue {
		text = text[:0]
		if dropped := w.dropped.Swap(0); dropped > 0 {
			text = fmt.Appendf(text, "logging: %d lines were dropped\n", dropped)
		}
		text, closing = w.appendQueued(append(text, line...), line == nil)
		if len(text) > 0 {
			// A failure to write the log cannot be logged.
			_, _ = w.out.Write(text)
		}
		if closing {
			return
		}
	}
}

// appendQueued appends the lines that are queued now, up to the nil line of Close, and
// reports whether that came.
func (w *AsyncWriter) appendQueued(text []byte, closing bool) ([]byte, bool) {
	for !closing && len(text) < maxWriteBytes {
		select {
		case line := <-w.queue:
			text = append(text, line...)
			closing = line == nil
		default:
			return text, false
		}
	}
	return text, closing
}

// Close waits until the queued lines are written, at most flushTimeout, and ends
// the task. While the output is blocked, the remaining lines are not written.
func (w *AsyncWriter) Close() {
	timeout := time.NewTimer(flushTimeout)
	defer timeout.Stop()
	select {
	case w.queue <- nil:
	case <-timeout.C:
		return
	}
	select {
	case <-w.done:
	case <-timeout.C:
	}
}
