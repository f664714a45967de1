package enforce_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/enforce"
	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// activationRecorder records the offsets at which tables were activated.
type activationRecorder struct{ offsets []uint64 }

func (r *activationRecorder) Record(event timeline.Event) {
	if event.Kind == timeline.InForce {
		r.offsets = append(r.offsets, event.Offset)
	}
}

// TestBatchIsActivatedOnce applies several records in one batch. Only one table must
// be activated, and each record must be returned as a difference.
func TestBatchIsActivatedOnce(t *testing.T) {
	var records []platform.Record
	for offset := uint64(1); offset <= 4; offset++ {
		payload, err := publish.EncodeFullConfig(&publish.Whole{
			Workspace: "fleet", Edition: offset,
			Services: []*publish.WholeService{{Name: "huts"}, {Name: "a-service-that-never-changes"}},
		})
		assert.NilError(t, err)
		records = append(records, platform.Record{Offset: offset, Payload: payload})
	}
	activations := &activationRecorder{}
	applied, err := enforce.New(publish.NewStateMachine(), activations).ApplyAndCompact(records)
	assert.NilError(t, err)
	assert.DeepEqual(t, activations.offsets, []uint64{4})
	assert.Equal(t, len(applied), 4)
	assert.Assert(t, len(applied[3].Payload) < len(records[3].Payload))
}
