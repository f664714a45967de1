package settings

import (
	"bytes"
	"encoding"
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Override replaces the value of one setting by a value from the command line.
type Override struct {
	// Field is the path of the setting, such as "listen.admin".
	Field string
	// Value is written as in the file, without quotes.
	Value string
}

// Load reads and checks a settings file. Every error about the content of the
// file is an *Error.
func Load(path string, overrides ...Override) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data, overrides...)
}

// Parse reads and checks settings. The name stands for the file in errors.
func Parse(name string, data []byte, overrides ...Override) (*Settings, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, syntaxError(name, data, err)
	}
	d := &decoder{file: name, data: data, lines: map[string]int{}}
	settings := &Settings{}
	value := reflect.ValueOf(settings).Elem()
	if err := d.object(&root, value, ""); err != nil {
		return nil, err
	}
	for _, override := range overrides {
		if err := d.override(value, override); err != nil {
			return nil, err
		}
	}
	if err := d.complete(value, ""); err != nil {
		return nil, err
	}
	if err := d.checkTLS(&settings.TLS); err != nil {
		return nil, err
	}
	return settings, nil
}

// decoder fills settings from the syntax tree of one file.
type decoder struct {
	file string
	data []byte
	// lines holds the line of every field that was set, 0 for overrides.
	lines map[string]int
}

func syntaxError(name string, data []byte, err error) error {
	line := 1
	text := err.Error()
	if _, after, found := strings.Cut(text, "line "); found {
		number, _, _ := strings.Cut(after, ",")
		line, _ = strconv.Atoi(number)
	}
	line = max(1, min(line, 1+bytes.Count(data, []byte("\n"))))
	return &Error{File: name, Line: line, Field: "(file)", Found: text, Allowed: "JSON with comments"}
}

func (d *decoder) line(v *hujson.Value) int {
	return 1 + bytes.Count(d.data[:min(v.StartOffset, len(d.data))], []byte("\n"))
}

func (d *decoder) fail(line int, field, found, allowed string) error {
	if field == "" {
		field = "(file)"
	}
	return &Error{File: d.file, Line: line, Field: field, Found: found, Allowed: allowed}
}

// object fills a struct from a JSON object.
func (d *decoder) object(v *hujson.Value, into reflect.Value, path string) error {
	line := d.line(v)
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return d.fail(line, path, describe(v), "an object")
	}
	d.lines[path] = line
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		field := join(path, name)
		if _, seen := d.lines[field]; seen {
			return d.fail(d.line(&member.Name), field, "the field a second time", "each field once")
		}
		index, known := fieldNamed(into.Type(), name)
		if !known {
			allowed := "one of " + strings.Join(fieldNames(into.Type()), ", ")
			return d.fail(d.line(&member.Name), field, "an unknown field", allowed)
		}
		if err := d.value(&member.Value, into.Field(index), into.Type().Field(index), field); err != nil {
			return err
		}
	}
	return nil
}

// value fills one field from a JSON value.
func (d *decoder) value(v *hujson.Value, into reflect.Value, field reflect.StructField, path string) error {
	if into.Kind() == reflect.Struct {
		return d.object(v, into, path)
	}
	line := d.line(v)
	d.lines[path] = line
	rule := ruleOf(field)
	if into.Kind() == reflect.Slice {
		return d.array(v, into, rule, path)
	}
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != rule.literal {
		return d.fail(line, path, describe(v), rule.allowed())
	}
	text := string(literal)
	if literal.Kind() == '"' {
		text = literal.String()
	}
	return d.text(line, text, into, rule, path)
}

// array fills a list of texts.
func (d *decoder) array(v *hujson.Value, into reflect.Value, rule rule, path string) error {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		return d.fail(d.line(v), path, describe(v), "a list, each item "+rule.allowed())
	}
	items := reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		element := &array.Elements[i]
		place := fmt.Sprintf("%s[%d]", path, i)
		literal, ok := element.Value.(hujson.Literal)
		if !ok || literal.Kind() != rule.literal {
			return d.fail(d.line(element), place, describe(element), rule.allowed())
		}
		if err := d.text(d.line(element), literal.String(), items.Index(i), rule, place); err != nil {
			return err
		}
	}
	into.Set(items)
	return nil
}

// text fills one scalar from its text.
func (d *decoder) text(line int, text string, into reflect.Value, rule rule, path string) error {
	refuse := func() error { return d.fail(line, path, quote(text), rule.allowed()) }
	if unmarshaler, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if err := unmarshaler.UnmarshalText([]byte(text)); err != nil {
			return refuse()
		}
	} else if into.Kind() == reflect.Int {
		number, err := strconv.Atoi(text)
		if err != nil {
			return refuse()
		}
		into.SetInt(int64(number))
	} else if into.Kind() == reflect.Float64 {
		number, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return refuse()
		}
		into.SetFloat(number)
	} else {
		into.SetString(text)
	}
	if !rule.allows(into) {
		return refuse()
	}
	return nil
}

// override sets one field by its path.
func (d *decoder) override(root reflect.Value, override Override) error {
	into := root
	for name := range strings.SplitSeq(override.Field, ".") {
		index, known := -1, false
		if into.Kind() == reflect.Struct {
			index, known = fieldNamed(into.Type(), name)
		}
		if !known {
			return d.fail(0, override.Field, "an unknown field", "a field of the settings")
		}
		field := into.Type().Field(index)
		into = into.Field(index)
		if into.Kind() == reflect.Struct {
			continue
		}
		d.lines[override.Field] = 0
		if into.Kind() == reflect.Slice {
			return d.overrideList(into, ruleOf(field), override)
		}
		return d.text(0, override.Value, into, ruleOf(field), override.Field)
	}
	return d.fail(0, override.Field, "a group of fields", "a single field")
}

func (d *decoder) overrideList(into reflect.Value, rule rule, override Override) error {
	texts := strings.Split(override.Value, ",")
	items := reflect.MakeSlice(into.Type(), len(texts), len(texts))
	for i, text := range texts {
		if err := d.text(0, text, items.Index(i), rule, override.Field); err != nil {
			return err
		}
	}
	into.Set(items)
	return nil
}

// complete puts in defaults and refuses a missing required field.
func (d *decoder) complete(into reflect.Value, path string) error {
	for i := range into.NumField() {
		field := into.Type().Field(i)
		name := join(path, field.Tag.Get("json"))
		if into.Field(i).Kind() == reflect.Struct {
			if err := d.complete(into.Field(i), name); err != nil {
				return err
			}
			continue
		}
		if _, set := d.lines[name]; set {
			continue
		}
		if err := d.fill(into.Field(i), field, name, path); err != nil {
			return err
		}
	}
	return nil
}

func (d *decoder) fill(into reflect.Value, field reflect.StructField, name, parent string) error {
	rule := ruleOf(field)
	if field.Tag.Get("required") == "true" {
		return d.fail(max(1, d.lines[parent]), name, "nothing", rule.allowed())
	}
	if value := field.Tag.Get("default"); value != "" {
		return d.text(0, value, into, rule, name)
	}
	return nil
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldNamed(t reflect.Type, name string) (int, bool) {
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("json") == name {
			return i, true
		}
	}
	return 0, false
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = t.Field(i).Tag.Get("json")
	}
	return names
}

// maxQuoted is how many bytes of a wrong value an error repeats.
const maxQuoted = 80

// quote repeats a value in an error without the user part of a URL.
func quote(text string) string {
	if before, after, found := strings.Cut(text, "@"); found {
		scheme, _, _ := strings.Cut(before, "//")
		text = scheme + "//(hidden)@" + after
	}
	if len(text) > maxQuoted {
		text = text[:maxQuoted] + "..."
	}
	return strconv.Quote(text)
}

func describe(v *hujson.Value) string {
	switch literal := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	case hujson.Literal:
		if literal.Kind() == '"' {
			return quote(literal.String())
		}
		return string(literal)
	default:
		return "nothing"
	}
}
