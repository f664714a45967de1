// Package testpage reads the field tables of the operators' documentation, for
// tests that check that the documentation matches the code.
package testpage

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// ConfigurationPage documents settings and workspaces. The path is relative to a
// package directly below internal.
const ConfigurationPage = "../../docs/CONFIGURATION.md"

// rowPattern matches a row of a field table without its last cell.
var rowPattern = regexp.MustCompile("(?m)^\\| `[a-z0-9_.]+` \\| [^|]+ \\| [^|]+ \\| [^|]+ \\|")

// FieldRows returns the rows of the field table below a second-level heading.
func FieldRows(t testing.TB, page, heading string) []string {
	t.Helper()
	text, err := os.ReadFile(page)
	assert.NilError(t, err)
	_, section, _ := strings.Cut(string(text), "## "+heading)
	section, _, _ = strings.Cut(section, "\n## ")
	return rowPattern.FindAllString(section, -1)
}
