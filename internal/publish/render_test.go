package publish_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

func sourceOf(text string) *publish.Source {
	return &publish.Source{
		Name:       "heaters",
		Templates:  map[string]string{"a.tmpl": text},
		Parameters: map[string]string{"x": "{}", "list": "[1, 2, 3]", "big": "12345678901", "share": "0.5"},
	}
}

// TestCostlyTemplatesAreRefused renders templates that would use excessive CPU time
// or memory on every daemon, or whose result would differ between daemons.
func TestCostlyTemplatesAreRefused(t *testing.T) {
	for text, reason := range map[string]string{
		`{{range 1000000000000}}{{end}}`:                              "steps",
		`{{range 19999}}{{end}}{{range 19999}}{{end}}`:                "steps",
		`{{if true}}{{range 1000000000000}}{{end}}{{end}}`:            "steps",
		`{{range $.list}}{{range 1000000000000}}{{end}}{{end}}`:       "steps",
		`{{define "f"}}{{template "f"}}{{end}}{{template "f"}}`:       "steps",
		`{{define "f"}}{{end}}{{range 19000}}{{template "f"}}{{end}}`: "steps",
		`{{$s := "x"}}{{range 60}}{{$s = print $s $s}}{{end}}`:        "functions make more",
		`{{$s := "x"}}{{range 60}}{{$s = html $s $s}}{{end}}`:         "functions make more",
		`{{range 19000}}{{$s := printf "%999d" 1}}{{end}}`:            "functions make more",
		`{{range 19000}}{{printf "%99d" 1}}{{end}}`:                   "render to more than",
		`{{printf "%1000d" 1}}`:                                       "widths",
		`{{printf "%*d" 1000000 1}}`:                                  "widths",
		`{{printf "%-12p" .x}}`:                                       "the verb p is not allowed",
		`{{printf "` + strings.Repeat("%d", 33) + `" 1}}`:             "verbs",
		`{{print` + strings.Repeat(` "a"`, 33) + `}}`:                 "arguments",
		`{{.missing}}`:                    "missing",
		`{"services": [], "services": 5}`: "services",
		`{"routes": [{"name": "r", "service": "s", "deadline": 5}]}`:                                     "with a unit",
		`{"routes": [{"name": "r", "service": "s", "deadline": "5"}]}`:                                   "missing unit",
		`{"routes": [{"name": "r", "service": "s"}]}`:                                                    "does not exist",
		`{"routes": [{"name": "r", "service": "a/b/c"}]}`:                                                "does not match",
		`{"services": [{"name": "s", "slots": 1}], "routes": [{"name":"r","service":"s","hedge":"1s"}]}`: "idempotent routes only",
		`{"services": [{"name": "s", "slots": 1}]} {}`:                                                   "invalid character",
	} {
		workspace, problems := publish.Render(sourceOf(text))
		assert.Assert(t, workspace == nil, text)
		assert.Assert(t, is.Contains(fmt.Sprint(problems), reason), text)
	}
}

func TestTemplatesSeeNumbersAsWritten(t *testing.T) {
	workspace, problems := publish.Render(sourceOf(`{
		"services": [{{range $i, $n := .list}}{{if $i}},{{end}}{"name": "s{{$n}}", "slots": {{$n}}}{{end}}],
		"routes": [{"name": "r", "service": "s{{if eq .big 12345678901}}1{{end}}", "retry_budget": {{.share}}}],
	}`))
	assert.Assert(t, is.Len(problems, 0))
	assert.Equal(t, len(workspace.Services), 3)
	assert.Equal(t, workspace.Routes[0].Service, "heaters/s1")
	assert.Equal(t, workspace.Routes[0].RetryBudget, 0.5)
}

func TestWorkspacesAreBounded(t *testing.T) {
	template := func(kind string, count int) *publish.Source {
		fields := `"slots": 1`
		if kind == "routes" {
			fields = `"service": "other/s"`
		}
		text := fmt.Sprintf(`{"%s": [{{range $i := %d}}{{if $i}},{{end}}{"name": "n{{$i}}", %s}{{end}}]}`, kind, count, fields)
		return sourceOf(text)
	}
	for kind, limit := range map[string]int{"services": publish.MaxServices, "routes": publish.MaxRoutes} {
		_, problems := publish.Render(template(kind, limit))
		assert.Assert(t, is.Len(problems, 0))
		_, problems = publish.Render(template(kind, limit+1))
		assert.Assert(t, is.Contains(fmt.Sprint(problems), "at most"))
	}
	large := sourceOf(strings.Repeat(" ", publish.MaxSourceBytes))
	_, problems := publish.Render(large)
	assert.Assert(t, is.Contains(fmt.Sprint(problems), "at most"))
}

// TestDeepNestingIsRefused renders the deepest nesting that fits into a source, which
// the checks must refuse, and the deepest that still reaches the parsers.
func TestDeepNestingIsRefused(t *testing.T) {
	const size = publish.MaxSourceBytes
	for text, reason := range map[string]string{
		strings.Repeat("[", size/2):                                                "objects and arrays",
		strings.Repeat("[", 20_000):                                                "parsing value",
		`{"services": ` + strings.Repeat(`{"]":`, size/16):                         "objects and arrays",
		"{{" + strings.Repeat("(", size/2):                                         "depth",
		strings.Repeat("{{if 1}}", size/16):                                        "at most 10000",
		strings.Repeat("{{if 1}}", 9_999):                                          "unexpected EOF",
		strings.Repeat("{{if 1}}", 5_000) + strings.Repeat("{{end}}", 5_000) + "x": "invalid literal",
	} {
		_, problems := publish.Render(sourceOf(text))
		assert.Assert(t, is.Contains(fmt.Sprint(problems), reason))
	}
}
