package publish_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// FuzzApply applies an arbitrary payload after a publication. Either the state is
// unchanged, or its snapshot can be restored.
func FuzzApply(f *testing.F) {
	for _, document := range documents {
		seed := publication("b", "heaters", 1, "20")
		seed.SetTemplates["main.tmpl"] = document
		payload, err := publish.EncodePublication(seed)
		assert.NilError(f, err)
		f.Add(payload)
	}
	f.Add([]byte{})
	f.Add([]byte{8, publish.Schema + 1})
	f.Add([]byte{8, publish.Schema, 26, 4, 8, 1, 16, 9})
	f.Fuzz(func(t *testing.T, payload []byte) {
		machine := publish.NewStateMachine()
		apply(t, machine, publication("a", "heaters", 0, "20"))
		digest := machine.Digest()
		verdict, err := machine.Apply(platform.Record{Offset: 2, Payload: payload})
		if err != nil {
			assert.Equal(t, machine.Offset(), uint64(1))
			assert.DeepEqual(t, machine.Digest(), digest)
			return
		}
		assert.Equal(t, machine.Offset(), uint64(2))
		assert.Assert(t, verdict == nil || verdict.Outcome != 0)
		snapshot, err := machine.Snapshot()
		assert.NilError(t, err)
		assert.NilError(t, publish.NewStateMachine().Restore(snapshot))
	})
}

// FuzzRestore restores arbitrary bytes as a snapshot.
func FuzzRestore(f *testing.F) {
	machine := publish.NewStateMachine()
	for _, workspace := range workspaces {
		payload, err := publish.EncodePublication(publication(workspace, workspace, 0, "20"))
		assert.NilError(f, err)
		_, err = machine.Apply(platform.Record{Offset: machine.Offset() + 1, Payload: payload})
		assert.NilError(f, err)
	}
	snapshot, err := machine.Snapshot()
	assert.NilError(f, err)
	f.Add(snapshot)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, snapshot []byte) {
		restored := publish.NewStateMachine()
		if restored.Restore(snapshot) != nil {
			assert.Equal(t, restored.Offset(), uint64(0))
			return
		}
		_, err := restored.Snapshot()
		assert.NilError(t, err)
	})
}

// FuzzRender renders arbitrary templates and parameters twice and compares the
// results.
func FuzzRender(f *testing.F) {
	for _, document := range documents {
		f.Add(document, "20")
	}
	f.Add(`{{range $i, $v := .slots}}{{printf "%v" $v}}{{end}}`, `{"b": [1, 2.5], "a": null}`)
	f.Add(`{{define "d"}}{{.}}{{end}}{{template "d" json .slots}}`, `"\u0000"`)
	f.Fuzz(func(t *testing.T, text, value string) {
		source := &publish.Source{
			Name:       "heaters",
			Templates:  map[string]string{"a.tmpl": text},
			Parameters: map[string]string{"slots": value},
		}
		first, problems := publish.Render(source)
		second, again := publish.Render(source)
		assert.Equal(t, first == nil, len(problems) > 0)
		assert.DeepEqual(t, problems, again)
		assert.DeepEqual(t, first, second)
	})
}
