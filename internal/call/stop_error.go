package call

import (
	"fmt"
	"time"
)

// stopPhase is a phase of a graceful stop in which requests are refused or aborted.
type stopPhase string

// Phases of a graceful stop.
const (
	// phaseDrain refuses requests for the local target.
	phaseDrain stopPhase = "drain"
	// phaseShutdown refuses all calls.
	phaseShutdown stopPhase = "shutdown"
	// phaseAbort ends the calls in progress.
	phaseAbort stopPhase = "abort"
)

// stopTimeFormat is the format of the time that identifies a stop in logs and errors.
const stopTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// FormatStop returns the text that identifies the stop that began at a time.
func FormatStop(began time.Time) string { return began.UTC().Format(stopTimeFormat) }

// stopError is the error of a request that a graceful stop refused or aborted. Its
// text reaches the logs of the daemon that sent the request, too.
type stopError struct {
	phase stopPhase
	// began is when the stop began, zero if that is not known.
	began time.Time
	cause error
}

func (e *stopError) Error() string {
	if e.began.IsZero() {
		return fmt.Sprintf("%v (phase %s of a stop)", e.cause, e.phase)
	}
	return fmt.Sprintf("%v (phase %s of the stop %s)", e.cause, e.phase, FormatStop(e.began))
}

func (e *stopError) Unwrap() error { return e.cause }
