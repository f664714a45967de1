package publish

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/testpage"
)

// defaultAndRange holds the documented default and range of each field.
var defaultAndRange = map[string][2]string{
	"services.slots":         {"required", rangeText(1, MaxSlots)},
	"services.queue":         {"`0`", rangeText(0, MaxQueue)},
	"services.queue_timeout": {"`" + DefaultQueueTimeout.String() + "`", rangeText("0s", MaxQueueTimeout)},
	"services.connections":   {codeText(DefaultConnections), rangeText(1, MaxConnections)},
	"services.slow_start":    {"`0s`", rangeText("0s", MaxSlowStart)},
	"routes.split":           {"none", fmt.Sprintf("up to %d objects with `service` and `weight`, `0` to `%d`", MaxShares, MaxWeight)},
	"routes.host":            {"none", "the host of a request"},
	"routes.prefix":          {"none", "a path that begins and ends with a slash"},
	"routes.keyless":         {"`false`", "`true` or `false`"},
	"routes.objective":       {"`0s`", rangeText("0s", MaxDeadline)},
	"routes.priority":        {"`0`", rangeText(0, MaxPriority)},
	"routes.refusals":        {"`0`", rangeText(0, MaxRefusals)},
	"routes.service":         {"required", "a name as above, or `WORKSPACE/SERVICE`"},
	"routes.deadline":        {"`" + DefaultDeadline.String() + "`", rangeText(MinDeadline, MaxDeadline)},
	"routes.idempotent":      {"`false`", "`true` or `false`"},
	"routes.retries":         {"`0`", rangeText(0, MaxRetries)},
	"routes.retry_budget":    {"`0`", rangeText(0, 1)},
	"routes.hedge":           {"`0s`", "`0s`, or a positive duration below the deadline"},
	"tokens.sha256":          {"required", "64 lower-case hexadecimal digits"},
	"tokens.role":            {"required", "`reader`, `publisher` or `administrator`"},
}

func codeText(value any) string { return fmt.Sprintf("`%v`", value) }

func rangeText(low, high any) string { return codeText(low) + " to " + codeText(high) }

// TestDocumentationListsTheFields compares the documented names, types, defaults and
// ranges with the fields of rendered documents, in both directions.
func TestDocumentationListsTheFields(t *testing.T) {
	var rows []string
	documentType := reflect.TypeFor[document]()
	for i := range documentType.NumField() {
		rows = append(rows, tableRows(documentType.Field(i).Type.Elem(), documentType.Field(i).Tag.Get("json"))...)
	}
	assert.DeepEqual(t, testpage.FieldRows(t, testpage.ConfigurationPage, "Fields of a workspace"), rows)
}

func tableRows(item reflect.Type, path string) []string {
	var rows []string
	for i := range item.NumField() {
		name := path + "." + item.Field(i).Tag.Get("json")
		columns, ok := defaultAndRange[name]
		if !ok {
			columns = [2]string{"required", fmt.Sprintf("a name of 1 to %d lower-case letters, digits and hyphens", MaxNameBytes)}
		}
		rows = append(rows, fmt.Sprintf("| `%s` | %s | %s | %s |", name, typeText(item.Field(i).Type), columns[0], columns[1]))
	}
	return rows
}

func typeText(t reflect.Type) string {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case t == reflect.TypeFor[duration]():
		return "duration"
	case t.Kind() == reflect.Slice:
		return "list"
	case t.Kind() == reflect.Bool:
		return "boolean"
	case t.Kind() == reflect.String:
		return "text"
	default:
		return "number"
	}
}

// TestDocumentationListsTheLimits compares the documented limits of a workspace with
// the code.
func TestDocumentationListsTheLimits(t *testing.T) {
	text, err := os.ReadFile(testpage.ConfigurationPage)
	assert.NilError(t, err)
	for name, limit := range map[string]int{
		"workspaces in the mesh":             MaxWorkspaces,
		"templates of a workspace":           MaxTemplates,
		"parameters of a workspace":          MaxParameters,
		"services of a workspace":            MaxServices,
		"routes of a workspace":              MaxRoutes,
		"tokens of a workspace":              MaxTokens,
		"bytes of templates and parameters":  MaxSourceBytes,
		"bytes that the templates render to": MaxRenderedBytes,
		"bytes of one publication":           MaxEntryBytes,
		"bytes of a reason or an author":     MaxTextBytes,
		"verdicts and publication ids kept":  MaxRetainedVerdicts,
		"bytes of the name of a template":    MaxNameBytes,
		"bytes of the id of one publication": MaxIDBytes,
	} {
		row := fmt.Sprintf("| %s | %d |", name, limit)
		assert.Assert(t, strings.Contains(string(text), row), row)
	}
}
