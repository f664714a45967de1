package call

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/once"
)

// maxStored bounds an answer that is kept for its key, in bytes.
const maxStored = 1 << 20

// errAnswerTooLong says that an answer cannot be kept for its key.
var errAnswerTooLong = errors.New("answer is too long to be kept for its key")

// runKeyed runs a call that may not be repeated, or replays its answer. Once
// handed to the target the call goes on to its deadline even if the caller is
// gone, so that a retry finds the answer.
func (s *Server) runKeyed(ctx context.Context, q *request, self membership.Member) (*answer, *Error) {
	s.counters.withKey.Inc()
	if s.keys == nil {
		return nil, s.fail(NotRun, StepKey, http.StatusServiceUnavailable, errNoKeys)
	}
	claim, err := s.claim(ctx, q)
	if err != nil {
		return nil, s.fail(outcomeOfRefusal(err), StepKey, http.StatusConflict, err)
	}
	if stored, ok := claim.Replay(); ok {
		s.counters.replayed.Inc()
		return replay(stored), nil
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.deadline)
	defer cancel()
	result, failure, handed := s.run(ctx, q, self)
	if !handed {
		claim.Release()
		return nil, failure
	}
	if failure != nil {
		claim.Complete(nil)
		return nil, failure
	}
	stored, err := store(result)
	if err != nil {
		claim.Complete(nil)
		return nil, s.fail(Unknown, StepAnswer, statusOf(ctx, err), err)
	}
	claim.Complete(stored)
	return replay(stored), nil
}

// claim begins the run of a key. While another attempt with the key runs it
// waits for that one's answer.
func (s *Server) claim(ctx context.Context, q *request) (KeyClaim, error) {
	for {
		claim, err := s.keys.Claim(q.config, q.service.Name, q.key)
		var refusal *once.Refusal
		if err == nil || !errors.As(err, &refusal) || refusal.Done == nil {
			return claim, err
		}
		select {
		case <-refusal.Done:
		case <-ctx.Done():
			return nil, err
		}
	}
}

// outcomeOfRefusal is unknown for a key that an attempt has run or is running:
// the caller must not take the request for one that was never run.
func outcomeOfRefusal(err error) Outcome {
	var refusal *once.Refusal
	if !errors.As(err, &refusal) {
		return NotRun
	}
	switch refusal.Reason {
	case once.AlreadyRan, once.InProgress:
		return Unknown
	default:
		return NotRun
	}
}

// store reads an answer whole.
func store(result *answer) (*StoredResponse, error) {
	whole, err := io.ReadAll(io.LimitReader(result.body, maxStored+1))
	_ = result.body.Close()
	if err == nil && len(whole) > maxStored {
		err = errAnswerTooLong
	}
	result.release(err == nil)
	if err != nil {
		return nil, err
	}
	return &StoredResponse{Status: result.status, Header: result.header, Body: whole}, nil
}

// replay returns a stored answer as if it came from the target.
func replay(stored *StoredResponse) *answer {
	header := stored.Header.Clone()
	header.Del("Content-Length")
	return &answer{
		status:  stored.Status,
		header:  header,
		length:  int64(len(stored.Body)),
		body:    io.NopCloser(bytes.NewReader(stored.Body)),
		release: func(bool) {},
	}
}
