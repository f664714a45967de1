package publish_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

func write(t *testing.T, dir, name, text string) {
	t.Helper()
	path := filepath.Join(dir, name)
	assert.NilError(t, os.MkdirAll(filepath.Dir(path), 0o755))
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
}

func workspaceDirectory(t *testing.T) string {
	dir := t.TempDir()
	write(t, dir, "workspace.json", `{"name": "heaters"} // the workspace`)
	write(t, dir, "parameters.json", `{"slots": 20, /* more */ "names": [ "a", "b" ],}`)
	write(t, dir, "templates/main.tmpl", serviceTemplate)
	return dir
}

func TestLoadedDirectoryIsAccepted(t *testing.T) {
	source, err := publish.LoadDirectory(workspaceDirectory(t))
	assert.NilError(t, err)
	assert.Equal(t, source.Name, "heaters")
	assert.DeepEqual(t, source.Parameters, map[string]string{"slots": "20", "names": `["a","b"]`})
	assert.Assert(t, is.Len(publish.Validate(source, nil), 0))
	machine := publish.NewStateMachine()
	difference := publish.Diff(nil, source)
	difference.Id = "a"
	assert.Equal(t, apply(t, machine, difference).Outcome, publish.Accepted)
	stored, version, found := machine.Source("heaters")
	assert.Assert(t, found)
	assert.Equal(t, version, publish.Version(1))
	assert.DeepEqual(t, stored, source)
}

func TestDirectoryErrorsNameTheFile(t *testing.T) {
	dir := workspaceDirectory(t)
	write(t, dir, "workspace.json", `{"nombre": "heaters"}`)
	_, err := publish.LoadDirectory(dir)
	assert.ErrorContains(t, err, "workspace.json")
	assert.ErrorContains(t, err, "nombre")
}

func TestDiffHoldsOnlyChanges(t *testing.T) {
	current := &publish.Source{
		Name:       "heaters",
		Templates:  map[string]string{"a.tmpl": "1", "b.tmpl": "2"},
		Parameters: map[string]string{"x": "1", "y": "2"},
	}
	next := &publish.Source{
		Name:       "heaters",
		Templates:  map[string]string{"a.tmpl": "1"},
		Parameters: map[string]string{"x": "3", "y": "2", "z": "4"},
	}
	difference := publish.Diff(current, next)
	assert.Assert(t, is.Len(difference.GetSetTemplates(), 0))
	assert.DeepEqual(t, difference.GetRemoveTemplates(), []string{"b.tmpl"})
	assert.DeepEqual(t, difference.GetSetParameters(), map[string]string{"x": "3", "z": "4"})
	assert.Assert(t, is.Len(difference.GetRemoveParameters(), 0))
}
