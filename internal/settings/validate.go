package settings

import (
	"fmt"
	"reflect"
)

// Validate returns an *Error for the first setting that is missing or invalid. It
// is meant for settings that were built or changed in code.
func (s *Settings) Validate() error {
	d := &decoder{file: "(settings)", lines: map[string]int{}}
	return d.validate(reflect.ValueOf(s).Elem(), "")
}

func (d *decoder) validate(v reflect.Value, path string) error {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name := joinPath(path, field.Tag.Get("json"))
		if v.Field(i).Kind() == reflect.Struct {
			if err := d.validate(v.Field(i), name); err != nil {
				return err
			}
			continue
		}
		if err := d.validateField(v.Field(i), constraintOf(field), name); err != nil {
			return err
		}
	}
	return nil
}

func (d *decoder) validateField(v reflect.Value, constraint constraint, name string) error {
	if v.Kind() == reflect.Slice {
		for i := range v.Len() {
			if err := d.validateField(v.Index(i), constraint, name); err != nil {
				return err
			}
		}
		return nil
	}
	if !constraint.accepts(v) {
		return d.errorAt(0, name, quote(fmt.Sprint(v.Interface())), constraint.expected())
	}
	return nil
}
