package admin_test

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/admin"
)

var metricPattern = regexp.MustCompile(`mulberrybank_[a-z_]+`)

// metricNames returns the sorted metric names in a text, without duplicates.
func metricNames(text string) []string {
	names := metricPattern.FindAllString(text, -1)
	slices.Sort(names)
	return slices.Compact(names)
}

// TestDocumentationListsTheMetrics compares the metric names in METRICS.md with those in
// the code of all packages. Neither may have a name that the other lacks.
func TestDocumentationListsTheMetrics(t *testing.T) {
	var code strings.Builder
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		code.Write(text)
		return err
	})
	assert.NilError(t, err)
	var rows strings.Builder
	text, err := os.ReadFile("../../docs/METRICS.md")
	assert.NilError(t, err)
	for line := range strings.Lines(string(text)) {
		if name, _, found := strings.Cut(strings.TrimPrefix(line, "| `"), "` |"); found {
			rows.WriteString(name + "\n")
		}
	}
	assert.DeepEqual(t, metricNames(rows.String()), metricNames(code.String()))
}

func TestStateIsExportedAsMetrics(t *testing.T) {
	set := metrics.NewSet()
	api := startServer(t, func(o *admin.Options) { o.Metrics = set })
	api.mesh.Events.RegisterMetrics(set)
	api.publishAccepted(t, newPublication("heaters", 0, "20"))
	var exported strings.Builder
	set.WritePrometheus(&exported)
	for _, line := range []string{
		"mulberrybank_configuration_offset 1",
		"mulberrybank_configuration_staleness_seconds -1",
		"mulberrybank_configuration_stopped 0",
		"mulberrybank_convergence_daemons_in_force 2",
		`mulberrybank_admin_publications_total{outcome="accepted"} 1`,
		"mulberrybank_timeline_events_dropped 0",
	} {
		assert.Assert(t, strings.Contains(exported.String(), line+"\n"), "%s in\n%s", line, exported.String())
	}
	api.mesh.SetStopCause(errors.New("schema 2 is not known"))
	exported.Reset()
	set.WritePrometheus(&exported)
	assert.Assert(t, strings.Contains(exported.String(), "mulberrybank_configuration_stopped 1\n"))
}
