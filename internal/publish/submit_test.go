package publish_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/enforce"
	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/standin/logservice"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

const submitTimeout = 5 * time.Second

// follow applies the records of the log until ctx is cancelled.
func follow(ctx context.Context, log platform.Log, enforcer *enforce.Enforcer) {
	for ctx.Err() == nil {
		offset, _ := enforcer.Position()
		result, err := log.Read(ctx, platform.ConfigurationStream, offset+1, time.Minute)
		if err == nil {
			_ = enforcer.Apply(result.Records)
		}
	}
}

// submit submits one publication through a log service, possibly with faults.
func submit(t *testing.T, service *logservice.Service, publication *publish.Publication) (publish.Verdict, error) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	enforcer := enforce.New(publish.NewStateMachine(), timeline.Discard{})
	go follow(ctx, service, enforcer)
	limited, stop := context.WithTimeout(ctx, submitTimeout)
	defer stop()
	return publish.NewSubmitter(service, enforcer).Submit(limited, publication)
}

func TestSubmitReturnsTheVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := logservice.New(logservice.Options{})
		verdict, err := submit(t, service, publication("a", "heaters", 0, "20"))
		assert.NilError(t, err)
		assert.Equal(t, verdict.Outcome, publish.Accepted)
		verdict, err = submit(t, service, publication("b", "heaters", 0, "20"))
		assert.NilError(t, err)
		assert.Equal(t, verdict.Outcome, publish.Conflict)
	})
}

func TestLostAppendResponseIsResolvedByID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := logservice.New(logservice.Options{})
		service.SetFaults(logservice.Faults{DropNextResponses: 1})
		verdict, err := submit(t, service, publication("a", "heaters", 0, "20"))
		assert.NilError(t, err)
		assert.Equal(t, verdict.Outcome, publish.Accepted)
		assert.Equal(t, service.Counts().Appends, uint64(1))
	})
}

func TestRefusedAppendIsNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := logservice.New(logservice.Options{})
		service.SetFaults(logservice.Faults{Refuse: true})
		// No reader runs: its retries would not end while the log refuses calls.
		submitter := publish.NewSubmitter(service, enforce.New(publish.NewStateMachine(), timeline.Discard{}))
		_, err := submitter.Submit(t.Context(), publication("a", "heaters", 0, "20"))
		var notWritten *publish.NotWrittenError
		assert.Assert(t, errors.As(err, &notWritten))
		service.SetFaults(logservice.Faults{})
		result, err := service.Read(t.Context(), platform.ConfigurationStream, 1, 0)
		assert.NilError(t, err)
		assert.Equal(t, result.Next, uint64(1))
	})
}

func TestUnappliedAppendIsPending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := logservice.New(logservice.Options{})
		service.SetFaults(logservice.Faults{DropNextResponses: 1})
		submitter := publish.NewSubmitter(service, enforce.New(publish.NewStateMachine(), timeline.Discard{}))
		ctx, cancel := context.WithTimeout(t.Context(), submitTimeout)
		defer cancel()
		_, err := submitter.Submit(ctx, publication("a", "heaters", 0, "20"))
		var pending *publish.PendingError
		assert.Assert(t, errors.As(err, &pending))
		assert.Equal(t, pending.Offset, uint64(0))
		assert.ErrorIs(t, err, platform.ErrUnknown)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
	})
}
