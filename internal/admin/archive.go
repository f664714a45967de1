package admin

import (
	"context"
	"errors"
	"fmt"

	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// LogArchive rebuilds old versions by replaying the log. It reaches as far back as
// the log retains records and snapshots.
type LogArchive struct {
	Log platform.Log
	// DecodeState returns the state that a record of the snapshot stream holds. If it
	// is nil, the payload of the record is the state.
	DecodeState func(payload []byte) ([]byte, error)
}

// ErrVersionNotFound reports that a workspace never had a version.
var ErrVersionNotFound = errors.New("the workspace has no such version")

// SourceAt returns the source of a workspace at one of its versions. The error
// wraps ErrVersionNotFound, or a platform.ExpiredError when the log no longer
// reaches back to the version.
func (a *LogArchive) SourceAt(ctx context.Context, workspace string, version publish.Version) (*publish.Source, error) {
	machine, err := a.initialState(ctx, uint64(version))
	if err != nil {
		return nil, err
	}
	if err := a.replay(ctx, machine, uint64(version)); err != nil {
		return nil, err
	}
	source, at, ok := machine.Source(workspace)
	if !ok || at != version {
		return nil, fmt.Errorf("version %d: %w", version, ErrVersionNotFound)
	}
	return source, nil
}

// initialState returns an empty state machine, or, if the beginning of the log has
// expired, one restored from the newest snapshot at or below an offset.
func (a *LogArchive) initialState(ctx context.Context, offset uint64) (*publish.StateMachine, error) {
	machine := publish.NewStateMachine()
	_, err := a.Log.Read(ctx, platform.ConfigurationStream, 1, 0)
	var expired *platform.ExpiredError
	if !errors.As(err, &expired) {
		return machine, err
	}
	if err := a.restoreNewest(ctx, machine, offset); err != nil {
		return nil, fmt.Errorf("restore snapshot: %w", err)
	}
	return machine, nil
}

// restoreNewest restores the newest readable snapshot at or below an offset.
func (a *LogArchive) restoreNewest(ctx context.Context, machine *publish.StateMachine, offset uint64) error {
	from := uint64(1)
	for {
		result, err := a.Log.Read(ctx, platform.SnapshotStream, from, 0)
		var expired *platform.ExpiredError
		if errors.As(err, &expired) {
			from = expired.Oldest
			continue
		}
		if err != nil {
			return err
		}
		if len(result.Records) == 0 {
			return nil
		}
		for _, record := range result.Records {
			a.restoreIfNewer(machine, record.Payload, offset)
			from = record.Offset + 1
		}
	}
}

// restoreIfNewer restores a snapshot that is newer than the state machine but not
// above an offset. A snapshot that cannot be decoded is skipped.
func (a *LogArchive) restoreIfNewer(machine *publish.StateMachine, payload []byte, offset uint64) {
	if a.DecodeState != nil {
		state, err := a.DecodeState(payload)
		if err != nil {
			return
		}
		payload = state
	}
	candidate := publish.NewStateMachine()
	if err := candidate.Restore(payload); err != nil {
		return
	}
	if candidate.Offset() > machine.Offset() && candidate.Offset() <= offset {
		*machine = *candidate
	}
}

// replay applies records up to an offset.
func (a *LogArchive) replay(ctx context.Context, machine *publish.StateMachine, offset uint64) error {
	for machine.Offset() < offset {
		result, err := a.Log.Read(ctx, platform.ConfigurationStream, machine.Offset()+1, 0)
		if err != nil {
			return fmt.Errorf("read offset %d: %w", machine.Offset()+1, err)
		}
		if len(result.Records) == 0 {
			return fmt.Errorf("version %d: %w", offset, ErrVersionNotFound)
		}
		for _, record := range result.Records {
			if record.Offset > offset {
				break
			}
			if _, err := machine.Apply(record); err != nil {
				return fmt.Errorf("apply record %d: %w", record.Offset, err)
			}
		}
	}
	return nil
}
