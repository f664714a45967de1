package settings

import (
	"fmt"
	"reflect"
)

// Check reports the first setting that is missing or out of its range. It is
// meant for settings that were built or changed in code.
func (s *Settings) Check() error {
	d := &decoder{file: "(settings)", lines: map[string]int{}}
	return d.check(reflect.ValueOf(s).Elem(), "")
}

func (d *decoder) check(v reflect.Value, path string) error {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name := join(path, field.Tag.Get("json"))
		if v.Field(i).Kind() == reflect.Struct {
			if err := d.check(v.Field(i), name); err != nil {
				return err
			}
			continue
		}
		if err := d.checkField(v.Field(i), ruleOf(field), name); err != nil {
			return err
		}
	}
	return nil
}

func (d *decoder) checkField(v reflect.Value, rule rule, name string) error {
	if v.Kind() == reflect.Slice {
		for i := range v.Len() {
			if err := d.checkField(v.Index(i), rule, name); err != nil {
				return err
			}
		}
		return nil
	}
	if !rule.allows(v) {
		return d.fail(0, name, quote(fmt.Sprint(v.Interface())), rule.allowed())
	}
	return nil
}
