package admin

import (
	"fmt"

	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// try folds a publication into a copy of the current state and returns the
// verdict and the configuration that would be in force. It applies the very rules of the log, so the answer holds as long
// as no other publication comes first.
func (s *Server) try(publication *publish.Publication) (publish.Verdict, *publish.Configuration, error) {
	snapshot, offset, err := s.Enforcer.Snapshot()
	if err != nil {
		return publish.Verdict{}, nil, fmt.Errorf("copy state: %w", err)
	}
	fold := publish.NewStateMachine()
	if err := fold.Restore(snapshot); err != nil {
		return publish.Verdict{}, nil, fmt.Errorf("copy state at %d: %w", offset, err)
	}
	payload, err := publish.EncodePublication(publication)
	if err != nil {
		return publish.Verdict{}, nil, fmt.Errorf("encode publication: %w", err)
	}
	verdict, err := fold.Apply(platform.Record{Offset: offset + 1, Payload: payload})
	if err != nil {
		return publish.Verdict{}, nil, fmt.Errorf("fold publication: %w", err)
	}
	result := *verdict
	result.Offset = 0
	result.Version = 0
	return result, fold.Configuration(), nil
}
