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

// maxStoredBody is the length in bytes of the longest response body that is stored
// for a key.
const maxStoredBody = 1 << 20

// errResponseTooLong is the error of a response that is too long to be stored.
var errResponseTooLong = errors.New("response is too long to be stored for its key")

// runKeyed runs a call with a key or replays its stored response. Once the request
// has been sent to the target, the call goes on until its deadline or the end of the
// process even if the caller disconnects, so that a retry finds the response.
func (s *Server) runKeyed(ctx context.Context, q *request, self membership.Member) (*targetResponse, *Error) {
	s.counters.keyed.Inc()
	if s.keys == nil {
		return nil, s.fail(NotRun, StepKey, http.StatusServiceUnavailable, errKeysNotServed)
	}
	claim, err := s.claimKey(ctx, q)
	if err != nil {
		return nil, s.fail(outcomeOfRefusal(err), StepKey, http.StatusConflict, err)
	}
	if stored, ok := claim.Replay(); ok {
		s.counters.replayed.Inc()
		return replayResponse(stored), nil
	}
	ctx, cancel := s.inflight.callContext(context.WithoutCancel(ctx), s.inflight.peers, q.deadline)
	defer cancel()
	result, failure, mayHaveSent := s.runOnTarget(ctx, q, self)
	if !mayHaveSent {
		claim.Release()
		return nil, failure
	}
	if failure != nil {
		claim.Complete(nil)
		return nil, failure
	}
	stored, err := storeResponse(result)
	if err != nil {
		claim.Complete(nil)
		return nil, s.fail(Unknown, StepAnswer, statusOf(ctx, err), err)
	}
	claim.Complete(stored)
	return replayResponse(stored), nil
}

// claimKey claims the key of a request. While another attempt with the key is
// running, it waits for that attempt to end.
func (s *Server) claimKey(ctx context.Context, q *request) (KeyClaim, error) {
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

// outcomeOfRefusal returns Unknown for a key that another attempt has run or is
// running: the caller must not conclude that the request never ran.
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

// storeResponse reads a response to its end.
func storeResponse(result *targetResponse) (*StoredResponse, error) {
	content, err := io.ReadAll(io.LimitReader(result.body, maxStoredBody+1))
	_ = result.body.Close()
	if err == nil && len(content) > maxStoredBody {
		err = errResponseTooLong
	}
	result.release(err == nil)
	if err != nil {
		return nil, err
	}
	return &StoredResponse{Status: result.status, Header: result.header, Body: content}, nil
}

// replayResponse returns a stored response as if it came from the target.
func replayResponse(stored *StoredResponse) *targetResponse {
	header := stored.Header.Clone()
	header.Del("Content-Length")
	return &targetResponse{
		status:  stored.Status,
		header:  header,
		length:  int64(len(stored.Body)),
		body:    io.NopCloser(bytes.NewReader(stored.Body)),
		release: func(bool) {},
	}
}
