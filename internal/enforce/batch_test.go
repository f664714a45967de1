package enforce_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/enforce"
	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// recorder keeps the offsets that came into force.
type recorder struct{ offsets []uint64 }

func (r *recorder) Record(event timeline.Event) {
	if event.Kind == timeline.InForce {
		r.offsets = append(r.offsets, event.Offset)
	}
}

// TestBatchComesIntoForceOnce folds records that came together: the table is
// swapped once, and each record is passed on as the change that it made.
func TestBatchComesIntoForceOnce(t *testing.T) {
	var records []platform.Record
	for offset := uint64(1); offset <= 4; offset++ {
		payload, err := publish.EncodeFullConfig(&publish.Whole{
			Workspace: "fleet", Edition: offset,
			Services: []*publish.WholeService{{Name: "huts"}, {Name: "a-service-that-never-changes"}},
		})
		assert.NilError(t, err)
		records = append(records, platform.Record{Offset: offset, Payload: payload})
	}
	seen := &recorder{}
	folded, err := enforce.New(publish.NewStateMachine(), seen).ApplyAndCompact(records)
	assert.NilError(t, err)
	assert.DeepEqual(t, seen.offsets, []uint64{4})
	assert.Equal(t, len(folded), 4)
	assert.Assert(t, len(folded[3].Payload) < len(records[3].Payload))
}
