package publish_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

func orderPayload(t assert.TestingT, service, version string, duration time.Duration) []byte {
	payload, err := publish.EncodeRolloutOrder(&publish.RolloutOrder{
		Workspace: "mesh", Service: service, Version: version, DurationUs: uint64(duration / time.Microsecond),
	})
	assert.NilError(t, err)
	return payload
}

func fullConfigPayload(t assert.TestingT, edition uint64, services ...string) []byte {
	full := &publish.Whole{Workspace: "mesh", Edition: edition}
	for _, name := range services {
		full.Services = append(full.Services, &publish.WholeService{Name: name})
	}
	payload, err := publish.EncodeFullConfig(full)
	assert.NilError(t, err)
	return payload
}

// Guards against a crash on, or an effect of, an order that is invalid. The order that
// it replaces ends, as it does for a daemon that reads only the newest record.
func TestInvalidRolloutOrderIsRefused(t *testing.T) {
	cases := map[string]struct {
		service, version string
		duration         time.Duration
		place            string
	}{
		"unknown service":  {"other", "v2", time.Second, "service"},
		"no service":       {"", "v2", time.Second, "service"},
		"no version":       {"heaters", "", time.Second, "version"},
		"no duration":      {"heaters", "v2", 0, "duration"},
		"endless duration": {"heaters", "v2", 1000 * time.Hour, "duration"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			machine := publish.NewStateMachine()
			applyPayload(t, machine, fullConfigPayload(t, 1, "heaters"))
			applyPayload(t, machine, orderPayload(t, "heaters", "v1", time.Second))
			verdict := applyPayload(t, machine, orderPayload(t, test.service, test.version, test.duration))
			assert.Equal(t, verdict.Outcome, publish.Refused)
			assert.Equal(t, verdict.Problems[0].Place, test.place)
			order := machine.Configuration().Rollouts["mesh/heaters"]
			assert.Equal(t, order == nil, test.service == "heaters")
		})
	}
}

// Guards against daemons that differ because one began with the newest record of each
// key, among them an order before the configuration, and the other read all records.
func TestNewestRecordsGiveTheStateOfAllRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all, newest := publish.NewStateMachine(), publish.NewStateMachine()
		last := map[string]platform.Record{}
		count := rapid.IntRange(1, 12).Draw(t, "records")
		for offset := uint64(1); offset <= uint64(count); offset++ {
			key := rapid.SampledFrom([]string{"config", "heaters", "plazas"}).Draw(t, "key")
			payload := fullConfigPayload(t, offset, "heaters")
			if key != "config" {
				version := rapid.SampledFrom([]string{"", "v2", "v3"}).Draw(t, "version")
				duration := time.Duration(rapid.IntRange(0, 2).Draw(t, "duration")) * time.Second
				payload = orderPayload(t, key, version, duration)
			}
			record := platform.Record{Offset: offset, Payload: payload}
			_, err := all.Apply(record)
			assert.NilError(t, err)
			last[key] = record
		}
		var records []platform.Record
		for _, record := range last {
			records = append(records, record)
		}
		slices.SortFunc(records, func(a, b platform.Record) int { return int(a.Offset) - int(b.Offset) })
		for _, record := range records {
			assert.Assert(t, newest.IsSelfContained(record))
			_, err := newest.Apply(record)
			assert.NilError(t, err)
		}
		assert.DeepEqual(t, newest.Configuration().Rollouts, all.Configuration().Rollouts)
		if _, configured := last["config"]; configured {
			// The version is the offset of the newest configuration in both.
			assert.DeepEqual(t, newest.Digest(), all.Digest())
		}
		snapshot, err := newest.Snapshot()
		assert.NilError(t, err)
		restored := publish.NewStateMachine()
		assert.NilError(t, restored.Restore(snapshot))
		assert.DeepEqual(t, restored.Digest(), newest.Digest())
		assert.DeepEqual(t, restored.Configuration().Rollouts, newest.Configuration().Rollouts)
	})
}

// Guards against a table without routes, which answers calls with 404, on a daemon
// that has read an order and no configuration.
func TestNoConfigurationBeforeTheFirstFullOne(t *testing.T) {
	machine := publish.NewStateMachine()
	applyPayload(t, machine, orderPayload(t, "heaters", "v2", time.Second))
	assert.Assert(t, !machine.HasConfiguration())
	snapshot, err := machine.Snapshot()
	assert.NilError(t, err)
	restored := publish.NewStateMachine()
	assert.NilError(t, restored.Restore(snapshot))
	assert.Assert(t, !restored.HasConfiguration())
	applyPayload(t, machine, fullConfigPayload(t, 1, "heaters"))
	assert.Assert(t, machine.HasConfiguration())
	assert.Equal(t, machine.Configuration().Rollouts["mesh/heaters"].Version, "v2")
}
