package publish

import (
	"context"
	"errors"
	"fmt"

	"github.com/mulberrybank/mulberrybank/internal/platform"
)

// VerdictSource provides the verdicts of this daemon's state machine.
type VerdictSource interface {
	// Verdicts returns the retained verdicts, oldest first.
	Verdicts() []Verdict
	// Changed returns a channel that is closed when the applied offset next grows.
	Changed() <-chan struct{}
}

// NotWrittenError reports that a publication was certainly not written to the
// log. It may be submitted again.
type NotWrittenError struct {
	ID  string
	Err error
}

func (e *NotWrittenError) Error() string {
	return fmt.Sprintf("publication %s was refused, nothing was written: %v", e.ID, e.Err)
}

func (e *NotWrittenError) Unwrap() error { return e.Err }

// PendingError reports that a publication was or may have been written and its
// verdict is not yet known on this daemon. It may be submitted again under the
// same id, which changes nothing if it was written.
type PendingError struct {
	ID string
	// Offset is the offset of the record, 0 when the append was not confirmed.
	Offset uint64
	Err    error
}

func (e *PendingError) Error() string {
	if e.Offset == 0 {
		return fmt.Sprintf("publication %s is pending, it may have been written: %v", e.ID, e.Err)
	}
	return fmt.Sprintf("publication %s is pending, written at offset %d: %v", e.ID, e.Offset, e.Err)
}

func (e *PendingError) Unwrap() error { return e.Err }

// Submitter appends publications to the log and waits for their verdicts.
type Submitter struct {
	log      platform.Log
	verdicts VerdictSource
}

// NewSubmitter returns a Submitter that reads verdicts from this daemon's state
// machine.
func NewSubmitter(log platform.Log, verdicts VerdictSource) *Submitter {
	return &Submitter{log: log, verdicts: verdicts}
}

// Submit appends a publication once and returns the verdict on its id. When the
// response to the append is lost, it waits for a record with the id to be applied.
// The error is a *NotWrittenError or a *PendingError; ctx limits the wait.
func (s *Submitter) Submit(ctx context.Context, publication *Publication) (Verdict, error) {
	id := publication.GetId()
	if found := checkPublication(publication); len(found) > 0 {
		return Verdict{}, &NotWrittenError{ID: id, Err: errors.New(found[0].String())}
	}
	if verdict, found := s.find(id); found {
		return verdict, nil
	}
	payload, err := EncodePublication(publication)
	if err != nil {
		return Verdict{}, &NotWrittenError{ID: id, Err: err}
	}
	offset, err := s.log.Append(ctx, platform.ConfigurationStream, payload)
	if errors.Is(err, platform.ErrRefused) {
		return Verdict{}, &NotWrittenError{ID: id, Err: err}
	}
	return s.wait(ctx, &PendingError{ID: id, Offset: offset, Err: err})
}

// wait returns the verdict on a pending publication once its record is applied.
func (s *Submitter) wait(ctx context.Context, pending *PendingError) (Verdict, error) {
	for {
		changed := s.verdicts.Changed()
		if verdict, found := s.find(pending.ID); found {
			return verdict, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			pending.Err = errors.Join(pending.Err, ctx.Err())
			return Verdict{}, pending
		}
	}
}

func (s *Submitter) find(id string) (Verdict, bool) {
	for _, verdict := range s.verdicts.Verdicts() {
		if verdict.ID == id {
			return verdict, true
		}
	}
	return Verdict{}, false
}
