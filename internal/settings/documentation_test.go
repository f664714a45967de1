package settings

import (
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/testpage"
)

// TestDocumentationListsTheSettings checks that the settings table of the configuration page
// has exactly the names, types, defaults and ranges of the struct tags.
func TestDocumentationListsTheSettings(t *testing.T) {
	assert.DeepEqual(t, testpage.FieldRows(t, testpage.ConfigurationPage, "Settings of a daemon"), rows(reflect.TypeFor[Settings](), ""))
}

// rows returns the expected table rows of a group of settings, in the order of its
// fields.
func rows(group reflect.Type, path string) []string {
	var all []string
	for i := range group.NumField() {
		field := group.Field(i)
		name := joinPath(path, field.Tag.Get("json"))
		if field.Type.Kind() == reflect.Struct {
			all = append(all, rows(field.Type, name)...)
			continue
		}
		cells := []string{"`" + name + "`", typeText(field.Type), defaultText(field), rangeText(field)}
		all = append(all, "| "+strings.Join(cells, " | ")+" |")
	}
	return all
}

func typeText(t reflect.Type) string {
	switch {
	case t == durationType:
		return "duration"
	case t == sizeType:
		return "size"
	case t.Kind() == reflect.Slice:
		return "list of texts"
	case t.Kind() == reflect.Int, t.Kind() == reflect.Float64:
		return "number"
	default:
		return "text"
	}
}

func defaultText(field reflect.StructField) string {
	if field.Tag.Get("required") == "true" {
		return "required"
	}
	if value := field.Tag.Get("default"); value != "" {
		return "`" + value + "`"
	}
	return "none"
}

func rangeText(field reflect.StructField) string {
	if low := field.Tag.Get("min"); low != "" {
		return "`" + low + "` to `" + field.Tag.Get("max") + "`"
	}
	return describeForm(field.Tag.Get("form"))
}
