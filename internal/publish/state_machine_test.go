package publish_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/mulberrybank/mulberrybank/internal/once"
	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

const serviceTemplate = `{
  // One service with a route.
  "services": [{"name": "status", "slots": {{.slots}}, "queue_timeout": "50ms"}],
  "routes": [{"name": "read", "service": "status", "idempotent": true, "deadline": "250ms"}],
}`

// publication returns a publication that sets the template and the slots of a
// workspace.
func publication(id, workspace string, base publish.Version, slots string) *publish.Publication {
	return &publish.Publication{
		Id: id, Workspace: workspace, Base: uint64(base), Author: "author of " + id,
		SetTemplates:  map[string]string{"main.tmpl": serviceTemplate},
		SetParameters: map[string]string{"slots": slots},
	}
}

func apply(t *testing.T, machine *publish.StateMachine, publication *publish.Publication) publish.Verdict {
	t.Helper()
	payload, err := publish.EncodePublication(publication)
	assert.NilError(t, err)
	return applyPayload(t, machine, payload)
}

func applyPayload(t *testing.T, machine *publish.StateMachine, payload []byte) publish.Verdict {
	t.Helper()
	verdict, err := machine.Apply(platform.Record{Offset: machine.Offset() + 1, Payload: payload})
	assert.NilError(t, err)
	return *verdict
}

func TestAcceptedPublicationIsRendered(t *testing.T) {
	machine := publish.NewStateMachine()
	verdict := apply(t, machine, publication("a", "heaters", 0, "20"))
	assert.Equal(t, verdict.Outcome, publish.Accepted)
	assert.Equal(t, verdict.Version, publish.Version(1))
	config := machine.Configuration()
	assert.Equal(t, config.Services["heaters/status"].Slots, 20)
	assert.Equal(t, config.Services["heaters/status"].QueueTimeout, 50*time.Millisecond)
	assert.Equal(t, config.Services["heaters/status"].Connections, publish.DefaultConnections)
	assert.Equal(t, config.Routes["heaters/read"].Service, "heaters/status")
	assert.Equal(t, config.Version, publish.Version(1))
}

func TestOnlyOneConcurrentPublicationIsAccepted(t *testing.T) {
	machine := publish.NewStateMachine()
	apply(t, machine, publication("a", "heaters", 0, "20"))
	before := machine.Configuration()
	verdict := apply(t, machine, publication("b", "heaters", 0, "30"))
	assert.Equal(t, verdict.Outcome, publish.Conflict)
	assert.Equal(t, verdict.ConflictVersion, publish.Version(1))
	assert.Equal(t, verdict.ConflictAuthor, "author of a")
	assert.Equal(t, machine.Configuration(), before)
}

func TestRepeatedIDChangesNothing(t *testing.T) {
	machine := publish.NewStateMachine()
	apply(t, machine, publication("a", "heaters", 0, "20"))
	verdict := apply(t, machine, publication("a", "heaters", 1, "30"))
	assert.Equal(t, verdict.Outcome, publish.Duplicate)
	assert.Equal(t, verdict.Version, publish.Version(1))
	assert.Equal(t, machine.Configuration().Services["heaters/status"].Slots, 20)
}

func TestRefusedPublicationChangesNothing(t *testing.T) {
	removal := &publish.Publication{
		Id: "removal", Workspace: "heaters", Base: 1,
		SetTemplates: map[string]string{"main.tmpl": `{"services": []}`},
	}
	missing := publication("missing", "heaters", 1, "20")
	missing.RemoveParameters = []string{"slots"}
	missing.SetParameters = nil
	unknown := publication("unknown", "heaters", 1, "20")
	unknown.SetTemplates["main.tmpl"] = `{"servicios": []}`
	cases := map[string]struct {
		publication *publish.Publication
		reason      string
	}{
		"range":        {publication("a", "heaters", 1, "0"), "slots is 0, want 1 to 10000"},
		"missing":      {missing, "slots"},
		"unknown":      {unknown, `unknown field "servicios"`},
		"dangling":     {removal, "service heaters/status does not exist"},
		"no JSON":      {publication("b", "heaters", 1, "{"), "not a JSON value"},
		"invalid name": {publication("c", "Heaters", 0, "20"), "does not match"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			machine := publish.NewStateMachine()
			apply(t, machine, publication("first", "heaters", 0, "20"))
			other := publication("other", "plazas", 0, "6")
			other.SetTemplates["more.tmpl"] = `{"routes": [{"name": "far", "service": "heaters/status"}]}`
			assert.Equal(t, apply(t, machine, other).Outcome, publish.Accepted)
			before := machine.Configuration()
			verdict := apply(t, machine, test.publication)
			assert.Equal(t, verdict.Outcome, publish.Refused)
			assert.Assert(t, is.Contains(fmt.Sprint(verdict.Problems), test.reason))
			assert.Equal(t, machine.Configuration(), before)
		})
	}
}

func TestMalformedRecordIsRefused(t *testing.T) {
	for name, payload := range map[string][]byte{
		"garbage": []byte("not an entry"),
		"empty":   {},
		"no kind": {8, 1},
		"large":   make([]byte, publish.MaxEntryBytes+1),
	} {
		t.Run(name, func(t *testing.T) {
			machine := publish.NewStateMachine()
			assert.Equal(t, applyPayload(t, machine, payload).Outcome, publish.Refused)
			assert.Equal(t, machine.Offset(), uint64(1))
		})
	}
}

func TestUnknownSchemaLeavesTheStateUnchanged(t *testing.T) {
	machine := publish.NewStateMachine()
	apply(t, machine, publication("a", "heaters", 0, "20"))
	digest := machine.Digest()
	_, err := machine.Apply(platform.Record{Offset: 2, Payload: []byte{8, publish.Schema + 1}})
	var unknown *publish.UnknownSchemaError
	assert.Assert(t, errors.As(err, &unknown))
	assert.Equal(t, unknown.Schema, uint32(publish.Schema+1))
	assert.Equal(t, machine.Offset(), uint64(1))
	assert.DeepEqual(t, machine.Digest(), digest)
}

func TestGrantsAreApplied(t *testing.T) {
	machine := publish.NewStateMachine()
	for _, grant := range []*once.Grant{{FromMs: 10, UntilMs: 20}, {FromMs: 15, UntilMs: 30}, {FromMs: 20, UntilMs: 30}} {
		payload, err := publish.EncodeGrant(grant)
		assert.NilError(t, err)
		record := platform.Record{Offset: machine.Offset() + 1, Appended: time.UnixMilli(10), Payload: payload}
		verdict, err := machine.Apply(record)
		assert.NilError(t, err)
		assert.Assert(t, verdict == nil)
	}
	assert.Equal(t, len(machine.Configuration().Grants), 2)
	assert.Equal(t, machine.Configuration().Grants.End(), int64(30))
}

func TestSnapshotRestoresTheState(t *testing.T) {
	machine := publish.NewStateMachine()
	apply(t, machine, publication("a", "heaters", 0, "20"))
	apply(t, machine, publication("b", "heaters", 0, "30"))
	apply(t, machine, publication("c", "plazas", 0, "0"))
	snapshot, err := machine.Snapshot()
	assert.NilError(t, err)
	restored := publish.NewStateMachine()
	assert.NilError(t, restored.Restore(snapshot))
	assert.DeepEqual(t, restored.Digest(), machine.Digest())
	assert.DeepEqual(t, restored.Verdicts(), machine.Verdicts())
	assert.DeepEqual(t, restored.Configuration(), machine.Configuration())
	again, err := restored.Snapshot()
	assert.NilError(t, err)
	assert.DeepEqual(t, again, snapshot)
	repeat := apply(t, restored, publication("a", "heaters", 1, "40"))
	assert.Equal(t, repeat.Outcome, publish.Duplicate)
}

func TestDamagedSnapshotIsNotRestored(t *testing.T) {
	machine := publish.NewStateMachine()
	apply(t, machine, publication("a", "heaters", 0, "20"))
	snapshot, err := machine.Snapshot()
	assert.NilError(t, err)
	for _, damaged := range []string{
		strings.Replace(string(snapshot), "author of a", "author of z", 1),
		string(snapshot[:len(snapshot)/2]),
		"",
	} {
		other := publish.NewStateMachine()
		assert.ErrorIs(t, other.Restore([]byte(damaged)), publish.ErrDamagedSnapshot)
		assert.Equal(t, other.Offset(), uint64(0))
	}
}

func TestIDsAreDeduplicatedWhileVerdictsAreRetained(t *testing.T) {
	machine := publish.NewStateMachine()
	first := publication("a", "heaters", 0, "0")
	assert.Equal(t, apply(t, machine, first).Outcome, publish.Refused)
	for range publish.MaxRetainedVerdicts - 1 {
		applyPayload(t, machine, []byte("not an entry"))
	}
	for range 3 {
		assert.Equal(t, apply(t, machine, first).Outcome, publish.Duplicate)
	}
	assert.Equal(t, len(machine.Verdicts()), publish.MaxRetainedVerdicts)
	applyPayload(t, machine, []byte("not an entry"))
	assert.Equal(t, len(machine.Verdicts()), publish.MaxRetainedVerdicts)
	assert.Equal(t, apply(t, machine, first).Outcome, publish.Refused)
}

func TestDigestCoversSources(t *testing.T) {
	one, other := publish.NewStateMachine(), publish.NewStateMachine()
	assert.DeepEqual(t, one.Digest(), other.Digest())
	apply(t, one, publication("a", "heaters", 0, "20"))
	apply(t, other, publication("a", "heaters", 0, "21"))
	assert.DeepEqual(t, one.Verdicts(), other.Verdicts())
	assert.Assert(t, string(one.Digest()) != string(other.Digest()))
}
