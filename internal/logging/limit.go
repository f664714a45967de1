package logging

import (
	"io"
	"sync"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// maxLinesPerSecond is the sustained rate of lines of one kind but Failure.
	maxLinesPerSecond = 50
	// maxBurstLines is the number of lines of one kind that may exceed that rate at
	// once.
	maxBurstLines = 500
	// failureFactor is how many times as many lines of the kind Failure there may be.
	failureFactor = 4
)

// limitedFormatter formats lines and drops those that exceed the rate limit of their
// kind, so that a burst of events does not fill the log. The first line of a kind
// after dropped ones is preceded by their number. Dropped lines are not formatted,
// which keeps them cheap.
type limitedFormatter struct {
	logrus.Formatter
	out io.Writer

	mu    sync.Mutex
	kinds [kindCount]kindLimit
}

// kindLimit is the rate limit of one kind of lines.
type kindLimit struct {
	limiter *rate.Limiter
	// dropped is the number of lines dropped since the last one written.
	dropped int
}

func newLimitedFormatter(formatter logrus.Formatter, out io.Writer) *limitedFormatter {
	f := &limitedFormatter{Formatter: formatter, out: out}
	for kind := range f.kinds {
		f.kinds[kind].limiter = rate.NewLimiter(maxLinesPerSecond, maxBurstLines)
	}
	f.kinds[Failure].limiter = rate.NewLimiter(failureFactor*maxLinesPerSecond, failureFactor*maxBurstLines)
	return f
}

// Format returns the text of a line, empty if the line is dropped.
func (f *limitedFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	kind := kindOf(entry)
	dropped, admitted := f.admit(kind)
	if !admitted {
		return nil, nil
	}
	line, err := f.Formatter.Format(entry)
	if err != nil || dropped == 0 {
		return line, err
	}
	notice, err := f.Formatter.Format(droppedNotice(entry, kind, dropped))
	return append(notice, line...), err
}

// admit reports whether a line of a kind is written, and how many were dropped before
// it.
func (f *limitedFormatter) admit(kind Kind) (dropped int, admitted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	limit := &f.kinds[kind]
	if f.isReserved(kind) || !limit.limiter.Allow() {
		limit.dropped++
		droppedLines.Add(1)
		return 0, false
	}
	dropped, limit.dropped = limit.dropped, 0
	return dropped, true
}

// isReserved reports whether the remaining space of the output is reserved for lines
// of another kind.
func (f *limitedFormatter) isReserved(kind Kind) bool {
	queue, queued := f.out.(*AsyncWriter)
	return queued && kind != Failure && queue.free() <= reservedLines
}

// droppedNotice returns the line that tells how many lines were dropped before a line
// of their kind.
func droppedNotice(next *logrus.Entry, kind Kind, dropped int) *logrus.Entry {
	return &logrus.Entry{
		Logger:  next.Logger,
		Time:    next.Time,
		Level:   logrus.WarnLevel,
		Message: "logging: lines were dropped",
		Data:    logrus.Fields{componentField: "logging", "kind": kind, "dropped": dropped},
	}
}
