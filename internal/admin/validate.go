package admin

import (
	"fmt"

	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// dryRun applies a publication to a copy of the current state and returns the
// verdict and the configuration that would become active. The rules are those that
// every daemon applies to the log, so the verdict holds unless another publication
// comes first.
func (s *Server) dryRun(publication *publish.Publication) (publish.Verdict, *publish.Configuration, error) {
	snapshot, offset, err := s.Enforcer.Snapshot()
	if err != nil {
		return publish.Verdict{}, nil, fmt.Errorf("copy state: %w", err)
	}
	machine := publish.NewStateMachine()
	if err := machine.Restore(snapshot); err != nil {
		return publish.Verdict{}, nil, fmt.Errorf("copy state at offset %d: %w", offset, err)
	}
	payload, err := publish.EncodePublication(publication)
	if err != nil {
		return publish.Verdict{}, nil, fmt.Errorf("encode publication: %w", err)
	}
	verdict, err := machine.Apply(platform.Record{Offset: offset + 1, Payload: payload})
	if err != nil {
		return publish.Verdict{}, nil, fmt.Errorf("apply publication: %w", err)
	}
	result := *verdict
	result.Offset = 0
	result.Version = 0
	return result, machine.Configuration(), nil
}
