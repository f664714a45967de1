package admin_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/admin"
	"github.com/mulberrybank/mulberrybank/internal/admin/admintest"
	"github.com/mulberrybank/mulberrybank/internal/platform"
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
