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

// Override replaces the value of one setting with a value from the command line.
type Override struct {
	// Field is the path of the setting, such as "listen.admin".
	Field string
	// Value is written as in the file, without quotes.
	Value string
}

// overrideSource takes the place of the file name in errors about an Override.
const overrideSource = "(override)"

// Load reads and validates a settings file. Every error about its content is an
// *Error.
func Load(path string, overrides ...Override) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data, overrides...)
}

// Parse decodes and validates settings. name is the file name in errors.
func Parse(name string, data []byte, overrides ...Override) (*Settings, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, syntaxError(name, data, err)
	}
	d := &decoder{file: name, data: data, lines: map[string]int{}}
	settings := &Settings{}
	value := reflect.ValueOf(settings).Elem()
	if err := d.decodeObject(&root, value, ""); err != nil {
		return nil, err
	}
	overrideDecoder := &decoder{file: overrideSource, lines: d.lines}
	for _, override := range overrides {
		if err := overrideDecoder.applyOverride(value, override); err != nil {
			return nil, err
		}
	}
	if err := d.applyDefaults(value, ""); err != nil {
		return nil, err
	}
	if err := d.validateTLS(&settings.TLS); err != nil {
		return nil, err
	}
	return settings, nil
}

// decoder decodes settings from the syntax tree of one file, or from overrides.
type decoder struct {
	file string
	data []byte
	// lines contains the line of every field that was set, 0 for overrides.
	lines map[string]int
}

func syntaxError(name string, data []byte, err error) error {
	line := 1
	message := err.Error()
	if _, after, found := strings.Cut(message, "line "); found {
		number, _, _ := strings.Cut(after, ",")
		line, _ = strconv.Atoi(number)
	}
	line = max(1, min(line, 1+bytes.Count(data, []byte("\n"))))
	return &Error{File: name, Line: line, Field: "(file)", Found: message, Expected: "JSON with comments"}
}

func (d *decoder) lineOf(v *hujson.Value) int {
	return 1 + bytes.Count(d.data[:min(v.StartOffset, len(d.data))], []byte("\n"))
}

func (d *decoder) errorAt(line int, field, found, expected string) error {
	if field == "" {
		field = "(file)"
	}
	return &Error{File: d.file, Line: line, Field: field, Found: found, Expected: expected}
}

// decodeObject decodes a JSON object into a struct.
func (d *decoder) decodeObject(v *hujson.Value, dst reflect.Value, path string) error {
	line := d.lineOf(v)
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return d.errorAt(line, path, describeValue(v), "an object")
	}
	d.lines[path] = line
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		field := joinPath(path, name)
		if _, duplicate := d.lines[field]; duplicate {
			return d.errorAt(d.lineOf(&member.Name), field, "a duplicate field", "each field at most once")
		}
		index, known := fieldIndex(dst.Type(), name)
		if !known {
			expected := "one of " + strings.Join(fieldNames(dst.Type()), ", ")
			return d.errorAt(d.lineOf(&member.Name), field, "an unknown field", expected)
		}
		if err := d.decodeField(&member.Value, dst.Field(index), dst.Type().Field(index), field); err != nil {
			return err
		}
	}
	return nil
}

// decodeField decodes a JSON value into one field.
func (d *decoder) decodeField(v *hujson.Value, dst reflect.Value, field reflect.StructField, path string) error {
	if dst.Kind() == reflect.Struct {
		return d.decodeObject(v, dst, path)
	}
	line := d.lineOf(v)
	d.lines[path] = line
	constraint := constraintOf(field)
	if dst.Kind() == reflect.Slice {
		return d.decodeList(v, dst, constraint, path)
	}
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != constraint.literal {
		return d.errorAt(line, path, describeValue(v), constraint.expected())
	}
	text := string(literal)
	if literal.Kind() == '"' {
		text = literal.String()
	}
	return d.decodeScalar(line, text, dst, constraint, path)
}

// decodeList decodes a JSON array into a list of scalars.
func (d *decoder) decodeList(v *hujson.Value, dst reflect.Value, constraint constraint, path string) error {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		return d.errorAt(d.lineOf(v), path, describeValue(v), "a list, each item "+constraint.expected())
	}
	items := reflect.MakeSlice(dst.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		element := &array.Elements[i]
		elementPath := fmt.Sprintf("%s[%d]", path, i)
		literal, ok := element.Value.(hujson.Literal)
		if !ok || literal.Kind() != constraint.literal {
			return d.errorAt(d.lineOf(element), elementPath, describeValue(element), constraint.expected())
		}
		if err := d.decodeScalar(d.lineOf(element), literal.String(), items.Index(i), constraint, elementPath); err != nil {
			return err
		}
	}
	dst.Set(items)
	return nil
}

// decodeScalar decodes the text of a scalar and validates its value.
func (d *decoder) decodeScalar(line int, text string, dst reflect.Value, constraint constraint, path string) error {
	invalid := func() error { return d.errorAt(line, path, quote(text), constraint.expected()) }
	if unmarshaler, ok := dst.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if err := unmarshaler.UnmarshalText([]byte(text)); err != nil {
			return invalid()
		}
	} else if dst.Kind() == reflect.Int {
		number, err := strconv.Atoi(text)
		if err != nil {
			return invalid()
		}
		dst.SetInt(int64(number))
	} else if dst.Kind() == reflect.Float64 {
		number, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return invalid()
		}
		dst.SetFloat(number)
	} else {
		dst.SetString(text)
	}
	if !constraint.accepts(dst) {
		return invalid()
	}
	return nil
}

// applyOverride sets the field at the path of an override.
func (d *decoder) applyOverride(root reflect.Value, override Override) error {
	dst := root
	for name := range strings.SplitSeq(override.Field, ".") {
		index, known := -1, false
		if dst.Kind() == reflect.Struct {
			index, known = fieldIndex(dst.Type(), name)
		}
		if !known {
			return d.errorAt(0, override.Field, "an unknown field", "a field of the settings")
		}
		field := dst.Type().Field(index)
		dst = dst.Field(index)
		if dst.Kind() == reflect.Struct {
			continue
		}
		d.lines[override.Field] = 0
		if dst.Kind() == reflect.Slice {
			return d.applyListOverride(dst, constraintOf(field), override)
		}
		return d.decodeScalar(0, override.Value, dst, constraintOf(field), override.Field)
	}
	return d.errorAt(0, override.Field, "a group of fields", "a single field")
}

func (d *decoder) applyListOverride(dst reflect.Value, constraint constraint, override Override) error {
	texts := strings.Split(override.Value, ",")
	items := reflect.MakeSlice(dst.Type(), len(texts), len(texts))
	for i, text := range texts {
		if err := d.decodeScalar(0, text, items.Index(i), constraint, override.Field); err != nil {
			return err
		}
	}
	dst.Set(items)
	return nil
}

// applyDefaults sets fields that are not in the file to their defaults. It returns
// an error for a missing required field.
func (d *decoder) applyDefaults(dst reflect.Value, path string) error {
	for i := range dst.NumField() {
		field := dst.Type().Field(i)
		name := joinPath(path, field.Tag.Get("json"))
		if dst.Field(i).Kind() == reflect.Struct {
			if err := d.applyDefaults(dst.Field(i), name); err != nil {
				return err
			}
			continue
		}
		if _, set := d.lines[name]; set {
			continue
		}
		if err := d.applyDefault(dst.Field(i), field, name, path); err != nil {
			return err
		}
	}
	return nil
}

func (d *decoder) applyDefault(dst reflect.Value, field reflect.StructField, name, parent string) error {
	constraint := constraintOf(field)
	if field.Tag.Get("required") == "true" {
		return d.errorAt(max(1, d.lines[parent]), name, "nothing", constraint.expected())
	}
	if value := field.Tag.Get("default"); value != "" {
		return d.decodeScalar(0, value, dst, constraint, name)
	}
	return nil
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldIndex(t reflect.Type, name string) (int, bool) {
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

// maxQuotedBytes limits how much of an invalid value an error contains.
const maxQuotedBytes = 80

// quote quotes a value for an error and hides the user part of a URL, which may
// contain a password.
func quote(text string) string {
	if before, after, found := strings.Cut(text, "@"); found {
		scheme, _, _ := strings.Cut(before, "//")
		text = scheme + "//(hidden)@" + after
	}
	if len(text) > maxQuotedBytes {
		text = text[:maxQuotedBytes] + "..."
	}
	return strconv.Quote(text)
}

func describeValue(v *hujson.Value) string {
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
