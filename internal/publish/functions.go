package publish

import (
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"text/template"
)

// addressVerb matches the formatting verb that prints memory addresses.
var addressVerb = regexp.MustCompile(`%[^a-zA-Z%]*p`)

// functions are those of templates besides the standard ones. Every function
// must give the same result on every daemon.
func functions() template.FuncMap {
	return template.FuncMap{
		"json":   toJSON,
		"printf": printf,
	}
}

// toJSON writes a value as JSON, quoted and escaped.
func toJSON(value any) (string, error) {
	text, err := json.Marshal(value)
	return string(text), err
}

// printf is the standard function without memory addresses, which differ
// between daemons.
func printf(format string, values ...any) (string, error) {
	if addressVerb.MatchString(format) {
		return "", errors.New("printf: the verb p is not allowed")
	}
	return fmt.Sprintf(format, values...), nil
}
