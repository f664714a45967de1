package route

import (
	"errors"
	"fmt"
	"time"
)

// ErrNoTarget is returned when no target of the service accepts new calls.
var ErrNoTarget = errors.New("no target takes new calls")

// ErrAllFull is returned when every target has recently refused calls as full.
var ErrAllFull = errors.New("all targets are full")

// NoTargetError is ErrNoTarget with what is known of the targets of the service.
type NoTargetError struct {
	// Known is the number of targets in the directory, Excluded the number of hosts
	// on which an attempt of the call failed or which are not to be used for it.
	Known, Excluded int
}

func (e *NoTargetError) Error() string {
	return fmt.Sprintf("%v: %d known, %d hosts excluded", ErrNoTarget, e.Known, e.Excluded)
}

func (e *NoTargetError) Unwrap() error { return ErrNoTarget }

// AllFullError is ErrAllFull with the refusals that it is based on.
type AllFullError struct {
	// Targets is the number of targets that refused calls.
	Targets int
	// Host is the host that refused one last, Latest and Earliest are the ages of its
	// refusal and of the oldest one.
	Host             string
	Latest, Earliest time.Duration
}

func (e *AllFullError) Error() string {
	return fmt.Sprintf("%v: %d refused calls in the last %s, the latest %s ago by %s", ErrAllFull, e.Targets,
		e.Earliest.Round(time.Millisecond), e.Latest.Round(time.Millisecond), e.Host)
}

func (e *AllFullError) Unwrap() error { return ErrAllFull }
