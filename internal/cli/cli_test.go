package cli

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/admin"
	"github.com/mulberrybank/mulberrybank/internal/admin/admintest"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/standin/logservice"
)

const mainTemplate = `{"services": [{"name": "points", "slots": {{.slots}}, "queue": 10}],
	"routes": [{"name": "read", "service": "points", "idempotent": true}]}`

// runCommand runs the program and returns its exit status, standard output and standard
// error.
func runCommand(t *testing.T, args ...string) (int, string, string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	status := run(t.Context(), args, &stdout, &stderr, nil)
	return status, stdout.String(), stderr.String()
}

// startMesh serves a mesh and returns it with the option for its address.
func startMesh(t *testing.T) (*admintest.Mesh, string) {
	t.Helper()
	mesh := admintest.New(logservice.New(logservice.Options{}))
	server := httptest.NewServer(admin.New(mesh.Options()).Handler())
	t.Cleanup(server.Close)
	return mesh, "--admin=" + server.URL
}

// writeWorkspace writes a workspace directory and returns its path.
func writeWorkspace(t *testing.T, parameters string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{
		"workspace.json":      `{"name": "heaters"}`,
		"parameters.json":     parameters,
		"templates/main.tmpl": mainTemplate,
	} {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	return dir
}

func TestUsageErrorsExitWithUsageStatus(t *testing.T) {
	for _, args := range [][]string{
		{}, {"fly"}, {"publish"}, {"publish", "dir", "--pace"}, {"diff", "w"}, {"timeline"},
		{"timeline", "--file=x", "--format=poem"}, {"timeline", "--file=x", "--from=noon"},
	} {
		status, _, stderr := runCommand(t, args...)
		assert.Equal(t, status, exitUsage, "%v: %s", args, stderr)
		assert.Assert(t, strings.Contains(stderr, "error: "), "%v: %s", args, stderr)
	}
}

func TestEveryCommandHasHelpWithAnExample(t *testing.T) {
	for _, name := range []string{"validate", "publish", "status", "members", "rollouts", "history", "diff", "rollback", "drain", "token", "timeline"} {
		status, stdout, _ := runCommand(t, name, "--help")
		assert.Equal(t, status, exitOK)
		assert.Assert(t, strings.Contains(stdout, "Example:\n  mulberrybank "+name), stdout)
	}
}

func TestValidateNeedsNoDaemon(t *testing.T) {
	status, stdout, _ := runCommand(t, "validate", writeWorkspace(t, `{"slots": 20}`))
	assert.Equal(t, status, exitOK)
	assert.Assert(t, strings.Contains(stdout, "1 services, 1 routes"), stdout)
	status, stdout, _ = runCommand(t, "validate", "--json", writeWorkspace(t, `{}`))
	assert.Equal(t, status, exitFailed)
	var result validation
	assert.NilError(t, json.Unmarshal([]byte(stdout), &result))
	assert.Assert(t, !result.Valid)
	assert.Equal(t, result.Problems[0].Place, "template main.tmpl")
}

func TestPublishDiffRollbackAndHistory(t *testing.T) {
	_, adminOption := startMesh(t)
	dir := writeWorkspace(t, `{"slots": 20}`)
	status, stdout, stderr := runCommand(t, "publish", dir, adminOption, "--reason=frost", "--wait")
	assert.Equal(t, status, exitOK, stderr)
	assert.Assert(t, strings.Contains(stdout, "accepted: workspace heaters is now version 1"), stdout)
	assert.Assert(t, strings.Contains(stderr, "in force on 2 of 2 daemons"), stderr)

	assert.NilError(t, os.WriteFile(filepath.Join(dir, "parameters.json"), []byte(`{"slots": 30}`), 0o600))
	status, stdout, _ = runCommand(t, "publish", dir, adminOption, "--base=0")
	assert.Equal(t, status, exitFailed)
	assert.Assert(t, strings.Contains(stdout, "conflict: workspace heaters is already version 1"), stdout)
	status, _, stderr = runCommand(t, "publish", dir, adminOption)
	assert.Equal(t, status, exitOK, stderr)
	_, stdout, _ = runCommand(t, "diff", "heaters", "--from=1", adminOption)
	assert.Assert(t, strings.Contains(stdout, "- service heaters/points: slots 20"), stdout)
	status, _, stderr = runCommand(t, "rollback", "heaters", "--to=1", adminOption, "--wait")
	assert.Equal(t, status, exitOK, stderr)
	_, stdout, _ = runCommand(t, "history", "heaters", "--json", adminOption)
	var history admin.History
	assert.NilError(t, json.Unmarshal([]byte(stdout), &history))
	assert.Equal(t, len(history.Verdicts), 4)
	assert.Equal(t, history.Verdicts[0].Reason, "frost")
}

func TestWaitFailsWhileADaemonIsMissing(t *testing.T) {
	mesh, adminOption := startMesh(t)
	mesh.SetLowestActive(func(offset uint64) uint64 { return offset - 1 })
	status, _, stderr := runCommand(t, "publish", writeWorkspace(t, `{"slots": 20}`), adminOption, "--wait", "--wait-timeout=150ms")
	assert.Equal(t, status, exitFailed)
	assert.Assert(t, strings.Contains(stderr, "in force on 1 of 2 daemons; missing: host-2"), stderr)
}

func TestErrorForAnUnreachableDaemonHasItsAddress(t *testing.T) {
	status, _, stderr := runCommand(t, "status", "--admin=127.0.0.1:1")
	assert.Equal(t, status, exitFailed)
	assert.Assert(t, strings.Contains(stderr, "mulberrybank: status: request to http://127.0.0.1:1"), stderr)
}

func TestStatusAndMembersAsTextAndJSON(t *testing.T) {
	_, adminOption := startMesh(t)
	for _, name := range []string{"status", "members"} {
		status, stdout, stderr := runCommand(t, name, adminOption)
		assert.Equal(t, status, exitOK, stderr)
		assert.Assert(t, strings.Contains(stdout, "host-1"), stdout)
		_, stdout, _ = runCommand(t, name, adminOption, "--json")
		assert.Assert(t, json.Valid([]byte(stdout)), stdout)
	}
}

func TestTimelineMergesFiltersAndChecks(t *testing.T) {
	_, adminOption := startMesh(t)
	runCommand(t, "publish", writeWorkspace(t, `{"slots": 20}`), adminOption)
	path := filepath.Join(t.TempDir(), "events.jsonl")
	lines := `{"time":{"ms":5,"n":0},"host":"host-9","kind":"in-force","offset":7,"digest":"a"}` + "\n" +
		`{"time":{"ms":6,"n":0},"host":"host-9","kind":"in-force","offset":6,"digest":"b"}` + "\n"
	assert.NilError(t, os.WriteFile(path, []byte(lines), 0o600))

	status, stdout, stderr := runCommand(t, "timeline", adminOption, "--file", path)
	assert.Equal(t, status, exitOK, stderr)
	assert.Assert(t, strings.Contains(stdout, "host-9 in-force offset=7"), stdout)
	assert.Assert(t, strings.Contains(stdout, "host-1 in-force"), stdout)
	_, stdout, _ = runCommand(t, "timeline", adminOption, "--file", path, "--host=host-9", "--json")
	assert.Equal(t, strings.Count(stdout, "\n"), 2)
	_, stdout, _ = runCommand(t, "timeline", adminOption, "--format=html")
	assert.Assert(t, strings.HasPrefix(stdout, "<!DOCTYPE html>"))
	assert.Assert(t, !strings.Contains(stdout, "src="))

	status, stdout, stderr = runCommand(t, "timeline", "check", adminOption)
	assert.Equal(t, status, exitOK, stdout+stderr)
	_, stdout, _ = runCommand(t, "timeline", "check", adminOption, "--json")
	assert.Assert(t, strings.Contains(stdout, `"violations": []`), stdout)
	status, stdout, _ = runCommand(t, "timeline", "check", "--file", path)
	assert.Equal(t, status, exitFailed)
	assert.Assert(t, strings.Contains(stdout, "versions-grow: host host-9 went from offset 7"), stdout)
}

func TestTokenGrantsAccessToAWorkspace(t *testing.T) {
	dir := t.TempDir()
	root, ci := filepath.Join(dir, "root.token"), filepath.Join(dir, "ci.token")
	_, stdout, _ := runCommand(t, "token", "root", "--role=administrator", "--file="+root, "--json")
	var token publish.Token
	assert.NilError(t, json.Unmarshal([]byte(stdout), &token))
	_, stdout, _ = runCommand(t, "token", "ci", "--role=publisher", "--file="+ci)
	_, document, _ := strings.Cut(stdout, "\n")

	mesh := admintest.New(logservice.New(logservice.Options{}))
	options := mesh.Options()
	options.Authorizer = &admin.TokenAuthorizer{Config: mesh, RootSHA256: token.SHA256}
	server := httptest.NewServer(admin.New(options).Handler())
	defer server.Close()
	adminOption := "--admin=" + server.URL
	workspace := writeWorkspace(t, `{"slots": 20}`)
	assert.NilError(t, os.WriteFile(filepath.Join(workspace, "templates", "access.tmpl"), []byte(document), 0o600))

	status, _, stderr := runCommand(t, "publish", workspace, adminOption)
	assert.Equal(t, status, exitFailed)
	assert.Assert(t, strings.Contains(stderr, "a valid token is needed"), stderr)
	status, _, stderr = runCommand(t, "publish", workspace, adminOption, "--token-file="+root)
	assert.Equal(t, status, exitOK, stderr)
	assert.NilError(t, os.WriteFile(filepath.Join(workspace, "parameters.json"), []byte(`{"slots": 30}`), 0o600))
	status, stdout, stderr = runCommand(t, "publish", workspace, adminOption, "--token-file="+ci)
	assert.Equal(t, status, exitOK, stdout+stderr)
	_, stdout, _ = runCommand(t, "history", "heaters", adminOption, "--token-file="+ci)
	assert.Assert(t, strings.Contains(stdout, "ci"), stdout)
	status, _, _ = runCommand(t, "token", "ci", "--role=publisher", "--file="+ci)
	assert.Equal(t, status, exitFailed)
}

func TestTimelineSkipsUnreachableDaemonsOnlyWithPartial(t *testing.T) {
	_, adminOption := startMesh(t)
	status, stdout, stderr := runCommand(t, "timeline", adminOption, "--admin=127.0.0.1:1")
	assert.Equal(t, status, exitFailed)
	assert.Assert(t, strings.Contains(stderr, "127.0.0.1:1") && stdout == "", stderr)
	status, stdout, stderr = runCommand(t, "timeline", adminOption, "--admin=127.0.0.1:1", "--partial")
	assert.Equal(t, status, exitOK)
	assert.Assert(t, strings.Contains(stderr, "continuing without some daemons"), stderr)
	assert.Assert(t, strings.Contains(stdout, "host-1 started"), stdout)
}
