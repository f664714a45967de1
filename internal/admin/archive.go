package admin

import (
	"context"
	"errors"
	"fmt"

	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// LogArchive finds old versions by folding the log again. It reaches as far
// back as the log keeps records and snapshots.
type LogArchive struct {
	Log platform.Log
	// DecodeState returns the state of a fold that a record of the snapshot stream
	// holds, nil when the record is the state itself.
	DecodeState func(payload []byte) ([]byte, error)
}

// ErrNoVersion says that a workspace never had a version.
var ErrNoVersion = errors.New("the workspace has no such version")

// SourceAt returns the source of a workspace at one of its versions. The error
// wraps ErrNoVersion, or a platform.ExpiredError when the log no longer
// reaches back to the version.
func (a *LogArchive) SourceAt(ctx context.Context, workspace string, version publish.Version) (*publish.Source, error) {
	fold, err := a.begin(ctx, uint64(version))
	if err != nil {
		return nil, err
	}
	if err := a.fold(ctx, fold, uint64(version)); err != nil {
		return nil, err
	}
	source, at, ok := fold.Source(workspace)
	if !ok || at != version {
		return nil, fmt.Errorf("version %d: %w", version, ErrNoVersion)
	}
	return source, nil
}

// begin returns an empty fold, or one restored from the newest snapshot that
// stands at or before an offset when the log's beginning has expired.
func (a *LogArchive) begin(ctx context.Context, offset uint64) (*publish.StateMachine, error) {
	fold := publish.NewStateMachine()
	_, err := a.Log.Read(ctx, platform.ConfigurationStream, 1, 0)
	var expired *platform.ExpiredError
	if !errors.As(err, &expired) {
		return fold, err
	}
	if err := a.restore(ctx, fold, offset); err != nil {
		return nil, fmt.Errorf("find snapshot: %w", err)
	}
	return fold, nil
}

// restore puts the newest usable snapshot up to an offset into a fold.
func (a *LogArchive) restore(ctx context.Context, fold *publish.StateMachine, offset uint64) error {
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
			a.restoreIfBetter(fold, record.Payload, offset)
			from = record.Offset + 1
		}
	}
}

// restoreIfBetter restores a snapshot that is newer than the fold but not
// newer than an offset. A snapshot that cannot be read is passed over.
func (a *LogArchive) restoreIfBetter(fold *publish.StateMachine, payload []byte, offset uint64) {
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
	if candidate.Offset() > fold.Offset() && candidate.Offset() <= offset {
		*fold = *candidate
	}
}

// fold applies records up to an offset.
func (a *LogArchive) fold(ctx context.Context, fold *publish.StateMachine, offset uint64) error {
	for fold.Offset() < offset {
		result, err := a.Log.Read(ctx, platform.ConfigurationStream, fold.Offset()+1, 0)
		if err != nil {
			return fmt.Errorf("read offset %d: %w", fold.Offset()+1, err)
		}
		if len(result.Records) == 0 {
			return fmt.Errorf("version %d: %w", offset, ErrNoVersion)
		}
		for _, record := range result.Records {
			if record.Offset > offset {
				break
			}
			if _, err := fold.Apply(record); err != nil {
				return fmt.Errorf("fold offset %d: %w", record.Offset, err)
			}
		}
	}
	return nil
}
