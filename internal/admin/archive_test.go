package admin_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/admin"
	"github.com/mulberrybank/mulberrybank/internal/admin/admintest"
	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/standin/logservice"
)

// TestOldVersionsAfterRecordsExpired rebuilds versions from a snapshot when the
// beginning of the log has expired, and fails for a version before all retained
// snapshots and records.
func TestOldVersionsAfterRecordsExpired(t *testing.T) {
	const retainedRecords = 3
	log := logservice.New(logservice.Options{MaxRecords: retainedRecords})
	mesh := admintest.New(log)
	base := uint64(0)
	for i, slots := range []string{"1", "2", "3", "4", "5", "6"} {
		body := newPublication("heaters", base, slots)
		verdict, err := mesh.Submit(t.Context(), admin.ToPublication(body, "host-1"))
		assert.NilError(t, err)
		base = uint64(verdict.Version)
		if i%2 == 1 {
			snapshot, _, err := mesh.Snapshot()
			assert.NilError(t, err)
			_, err = log.Append(t.Context(), platform.SnapshotStream, append([]byte("z"), snapshot...))
			assert.NilError(t, err)
		}
	}
	archive := &admin.LogArchive{Log: log, DecodeState: func(payload []byte) ([]byte, error) { return payload[1:], nil }}
	source, err := archive.SourceAt(t.Context(), "heaters", 5)
	assert.NilError(t, err)
	assert.Equal(t, source.Parameters["slots"], "5")
	source, err = archive.SourceAt(t.Context(), "heaters", 4)
	assert.NilError(t, err)
	assert.Equal(t, source.Parameters["slots"], "4")
	_, err = archive.SourceAt(t.Context(), "heaters", 1)
	var expired *platform.ExpiredError
	assert.Assert(t, errors.As(err, &expired), "%v", err)
}

// brokenLog is a log whose reads and appends fail with err.
type brokenLog struct{ err error }

func (l brokenLog) Append(context.Context, string, []byte) (uint64, error) { return 0, l.err }

func (l brokenLog) Read(context.Context, string, uint64, time.Duration) (platform.ReadResult, error) {
	return platform.ReadResult{}, l.err
}

func TestOldVersionDuringLogOutageIsUnavailable(t *testing.T) {
	outage := brokenLog{&platform.StatusError{Status: http.StatusServiceUnavailable}}
	api := startServer(t, func(options *admin.Options) { options.Archive = &admin.LogArchive{Log: outage} })
	first := api.publishAccepted(t, newPublication("heaters", 0, "20"))
	api.publishAccepted(t, newPublication("heaters", first, "30"))
	_, err := api.Source(t.Context(), "heaters", first)
	var problem *admin.Problem
	assert.Assert(t, errors.As(err, &problem), "%v", err)
	assert.Equal(t, problem.Status, http.StatusServiceUnavailable)
	assert.Equal(t, problem.Type, admin.TypeUnavailable)
}

// failingArchive is an archive whose every version fails with err.
type failingArchive struct{ err error }

func (a failingArchive) SourceAt(context.Context, string, publish.Version) (*publish.Source, error) {
	return nil, a.err
}

func TestVersionThatTheLogDoesNotRetainIsNotFound(t *testing.T) {
	for _, cause := range []error{&platform.ExpiredError{Stream: platform.ConfigurationStream, From: 1, Oldest: 2}, admin.ErrVersionNotFound} {
		archive := failingArchive{fmt.Errorf("read: %w", cause)}
		api := startServer(t, func(options *admin.Options) { options.Archive = archive })
		first := api.publishAccepted(t, newPublication("heaters", 0, "20"))
		api.publishAccepted(t, newPublication("heaters", first, "30"))
		_, err := api.Source(t.Context(), "heaters", first)
		var problem *admin.Problem
		assert.Assert(t, errors.As(err, &problem), "%v", err)
		assert.Equal(t, problem.Status, http.StatusNotFound)
	}
}
