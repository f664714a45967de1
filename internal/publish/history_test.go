package publish_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrybank/mulberrybank/internal/enforce"
	"github.com/mulberrybank/mulberrybank/internal/once"
	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

var workspaces = []string{"huts", "heaters", "plazas"}

// documents are template texts: some are valid alone, some only while another
// workspace has the service, and some are never valid.
var documents = []string{
	`{"services": [{"name": "status", "slots": {{.slots}}}]}`,
	`{"services": [{"name": "status", "slots": {{.slots}}}], "routes": [{"name": "read", "service": "status"}]}`,
	`{"routes": [{"name": "far", "service": "huts/status"}]}`,
	`{"routes": [{"name": "far", "service": "heaters/status"}]}`,
	`{}`,
	`{"routes": [{"name": "none", "service": "none"}]}`,
	`{{.missing}}`,
	`not JSON`,
}

// drawPublication draws a publication. Its base is usually the current version of
// the workspace, otherwise an outdated or nonexistent one.
func drawPublication(t *rapid.T, machine *publish.StateMachine) *publish.Publication {
	workspace := rapid.SampledFrom(workspaces).Draw(t, "workspace")
	_, base, _ := machine.Source(workspace)
	if rapid.IntRange(0, 4).Draw(t, "stale") == 4 {
		base = publish.Version(rapid.IntRange(0, 30).Draw(t, "base"))
	}
	publication := &publish.Publication{
		Id:            fmt.Sprintf("id-%d", rapid.IntRange(0, 60).Draw(t, "id")),
		Workspace:     workspace,
		Base:          uint64(base),
		Author:        rapid.SampledFrom([]string{"a", "b"}).Draw(t, "author"),
		SetTemplates:  map[string]string{},
		SetParameters: map[string]string{"slots": fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "slots"))},
	}
	name := rapid.SampledFrom([]string{"one.tmpl", "two.tmpl"}).Draw(t, "template")
	if rapid.Bool().Draw(t, "remove") {
		publication.RemoveTemplates = []string{name}
	} else {
		publication.SetTemplates[name] = rapid.SampledFrom(documents).Draw(t, "document")
	}
	return publication
}

func drawPayload(t *rapid.T, machine *publish.StateMachine) []byte {
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 8:
		return rapid.SliceOfN(rapid.Byte(), 0, 20).Filter(hasKnownSchema).Draw(t, "bytes")
	case 9:
		grants := machine.Configuration().Grants
		from := max(1, grants.End()+int64(rapid.IntRange(-5, 5).Draw(t, "from")))
		payload, err := publish.EncodeGrant(&once.Grant{FromMs: from, UntilMs: from + 10, Changes: from == grants.End()})
		assert.NilError(t, err)
		return payload
	}
	payload, err := publish.EncodePublication(drawPublication(t, machine))
	assert.NilError(t, err)
	return payload
}

// hasKnownSchema reports whether a payload has no newer schema number.
func hasKnownSchema(payload []byte) bool {
	_, err := publish.NewStateMachine().Apply(platform.Record{Offset: 1, Payload: payload})
	return err == nil
}

// drawHistory draws the records of a log and applies them all. It checks that
// versions only increase and that every route has its service.
func drawHistory(t *rapid.T) ([]platform.Record, *publish.StateMachine) {
	machine := publish.NewStateMachine()
	var records []platform.Record
	for range rapid.IntRange(1, 40).Draw(t, "records") {
		before := machine.Configuration()
		record := platform.Record{
			Offset:   machine.Offset() + 1,
			Appended: time.UnixMilli(int64(machine.Offset()) * 10),
			Payload:  drawPayload(t, machine),
		}
		records = append(records, record)
		verdict, err := machine.Apply(record)
		assert.NilError(t, err)
		checkStep(t, before, machine, verdict)
	}
	return records, machine
}

func checkStep(t *rapid.T, before *publish.Configuration, machine *publish.StateMachine, verdict *publish.Verdict) {
	after := machine.Configuration()
	accepted := verdict != nil && verdict.Outcome == publish.Accepted
	if accepted {
		assert.Equal(t, after.Version, publish.Version(machine.Offset()))
		assert.Equal(t, verdict.Version, after.Version)
		assert.Equal(t, after.Workspaces[verdict.Workspace].Version, after.Version)
	} else {
		assert.Equal(t, after.Version, before.Version)
	}
	for name, route := range after.Routes {
		assert.Assert(t, after.Services[route.Service] != nil, "route %s refers to missing service %s", name, route.Service)
	}
}

// TestStateMachinesOfOneLogAgree delivers one log in batches that overlap, repeat and
// leave gaps, with restarts from snapshots. The state must be the same as that of the
// log applied in order.
func TestStateMachinesOfOneLogAgree(t *testing.T) {
	outcomes := map[publish.Outcome]int{}
	rapid.Check(t, func(t *rapid.T) {
		records, want := drawHistory(t)
		for _, verdict := range want.Verdicts() {
			outcomes[verdict.Outcome]++
		}
		got := publish.NewStateMachine()
		enforcer := enforce.New(got, timeline.Discard{})
		for step := 0; got.Offset() < want.Offset(); step++ {
			if step > 200 {
				assert.NilError(t, enforcer.Apply(records))
				break
			}
			before := got.Offset()
			from := rapid.IntRange(0, len(records)-1).Draw(t, "from")
			to := rapid.IntRange(from, len(records)).Draw(t, "to")
			_ = enforcer.Apply(records[from:to])
			assert.Assert(t, got.Offset() >= before)
			if rapid.IntRange(0, 9).Draw(t, "restart") == 9 {
				got = restoreFrom(t, got)
				enforcer = enforce.New(got, timeline.Discard{})
			}
		}
		assert.DeepEqual(t, got.Digest(), want.Digest())
		assert.DeepEqual(t, got.Verdicts(), want.Verdicts())
		assert.DeepEqual(t, snapshotOf(t, got), snapshotOf(t, want))
	})
	t.Log(outcomes)
	for _, outcome := range []publish.Outcome{publish.Accepted, publish.Conflict, publish.Refused} {
		assert.Assert(t, outcomes[outcome] > 0, "no publication was %v", outcome)
	}
}

// TestDigestsDistinguishHistories replaces one record by a grant that changes nothing
// and has no verdict. Digests must differ exactly when the states do.
func TestDigestsDistinguishHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, original := drawHistory(t)
		replaced := rapid.IntRange(0, len(records)-1).Draw(t, "dropped")
		noOp, err := publish.EncodeGrant(&once.Grant{})
		assert.NilError(t, err)
		other := publish.NewStateMachine()
		for i, record := range records {
			if i == replaced {
				record.Payload = noOp
			}
			_, err := other.Apply(record)
			assert.NilError(t, err)
		}
		same := proto.Equal(snapshotWithoutTexts(t, other), snapshotWithoutTexts(t, original))
		assert.Equal(t, string(other.Digest()) == string(original.Digest()), same)
	})
}

// snapshotWithoutTexts returns a snapshot without its digest and the texts of
// problems, which digests do not cover.
func snapshotWithoutTexts(t *rapid.T, machine *publish.StateMachine) *publish.Snapshot {
	snapshot := &publish.Snapshot{}
	assert.NilError(t, proto.Unmarshal(snapshotOf(t, machine), snapshot))
	snapshot.Digest = nil
	for _, verdict := range snapshot.GetVerdicts() {
		verdict.Problems = nil
	}
	return snapshot
}

func snapshotOf(t *rapid.T, machine *publish.StateMachine) []byte {
	snapshot, err := machine.Snapshot()
	assert.NilError(t, err)
	return snapshot
}

func restoreFrom(t *rapid.T, machine *publish.StateMachine) *publish.StateMachine {
	restored := publish.NewStateMachine()
	assert.NilError(t, restored.Restore(snapshotOf(t, machine)))
	assert.DeepEqual(t, restored.Digest(), machine.Digest())
	assert.DeepEqual(t, restored.Configuration().Services, machine.Configuration().Services)
	assert.DeepEqual(t, restored.Configuration().Routes, machine.Configuration().Routes)
	return restored
}
