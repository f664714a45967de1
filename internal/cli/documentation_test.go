package cli

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	arg "github.com/alexflint/go-arg"
	"gotest.tools/v3/assert"
)

// documentedCommands returns the commands in the code blocks of a page, without the name
// of the program.
func documentedCommands(text string) []string {
	var commandLines []string
	for line := range strings.Lines(text) {
		if !strings.HasPrefix(line, "    ") {
			continue
		}
		line = strings.TrimPrefix(strings.TrimSpace(line), "$ ")
		line = strings.TrimPrefix(line, "./")
		if rest, ok := strings.CutPrefix(line, programName+" "); ok {
			rest, _, _ = strings.Cut(rest, " > ")
			commandLines = append(commandLines, strings.TrimSuffix(rest, " &"))
		}
	}
	return commandLines
}

// splitFields splits a command line at spaces outside of double quotes. The quotes are
// kept.
func splitFields(line string) []string {
	quoted := false
	return strings.FieldsFunc(line, func(r rune) bool {
		if r == '"' {
			quoted = !quoted
		}
		return r == ' ' && !quoted
	})
}

func TestDocumentedCommandsParse(t *testing.T) {
	pages, err := filepath.Glob("../../docs/*.md")
	assert.NilError(t, err)
	count := 0
	for _, page := range append(pages, "../../README.md") {
		text, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, line := range documentedCommands(string(text)) {
			parser, err := arg.NewParser(arg.Config{Program: programName, Out: io.Discard}, &commands{})
			assert.NilError(t, err)
			assert.NilError(t, parser.Parse(splitFields(line)), "%s: %s", page, line)
			count++
		}
	}
	assert.Assert(t, count > 10, "%d commands found", count)
}

func TestExamplesParse(t *testing.T) {
	for _, name := range []string{"daemon", "demo", "validate", "publish", "status", "members", "rollouts", "history", "diff", "rollback", "drain", "token", "timeline", "soak", "story"} {
		parsed := &commands{}
		parser, err := arg.NewParser(arg.Config{Program: programName, Out: io.Discard}, parsed)
		assert.NilError(t, err)
		_ = parser.Parse([]string{name})
		selected, ok := parser.Subcommand().(exampleProvider)
		assert.Assert(t, ok, name)
		for _, line := range documentedCommands("    " + strings.ReplaceAll(selected.example(), "\n", "\n    ")) {
			exampleParser, err := arg.NewParser(arg.Config{Program: programName, Out: io.Discard}, &commands{})
			assert.NilError(t, err)
			assert.NilError(t, exampleParser.Parse(splitFields(line)), line)
		}
	}
}
