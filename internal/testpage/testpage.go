// Package testpage reads the tables of the operators' pages, for tests that hold
// the pages to the code.
package testpage

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// ConfigurationPage is the page of settings and workspaces, seen from a package
// below internal.
const ConfigurationPage = "../../docs/CONFIGURATION.md"

// rowPattern matches a row of a table of fields, without its last cell.
var rowPattern = regexp.MustCompile("(?m)^\\| `[a-z0-9_.]+` \\| [^|]+ \\| [^|]+ \\| [^|]+ \\|")

// FieldRows returns the rows of the fields below a heading of the second level.
func FieldRows(t testing.TB, page, heading string) []string {
	t.Helper()
	text, err := os.ReadFile(page)
	assert.NilError(t, err)
	_, section, _ := strings.Cut(string(text), "## "+heading)
	section, _, _ = strings.Cut(section, "\n## ")
	return rowPattern.FindAllString(section, -1)
}
