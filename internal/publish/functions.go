package publish

import (
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strings"
	"text/template"
)

var (
	// pointerVerb matches the formatting verb that prints memory addresses.
	pointerVerb = regexp.MustCompile(`%[^a-zA-Z%]*p`)
	// wideVerb matches verbs whose width or precision has more than three digits
	// or is taken from an argument.
	wideVerb = regexp.MustCompile(`%[^a-zA-Z%]*([0-9]{4}|\*)`)
)

// functions returns the template functions that are added to or replace the
// standard ones. Every function is deterministic across daemons and counts its
// output.
func (b *budget) functions() template.FuncMap {
	return template.FuncMap{
		stepFunction: b.step,
		"json":       b.json,
		"printf":     b.printf,
		"print":      b.limited(fmt.Sprint),
		"println":    b.limited(fmt.Sprintln),
		"html":       b.limited(template.HTMLEscaper),
		"js":         b.limited(template.JSEscaper),
		"urlquery":   b.limited(template.URLQueryEscaper),
	}
}

// json encodes a value as JSON.
func (b *budget) json(value any) (string, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return "", err
	}
	return b.addOutput(string(text))
}

// printf is the standard function without pointers, whose text differs between
// daemons, and without wide fields.
func (b *budget) printf(format string, values ...any) (string, error) {
	switch {
	case pointerVerb.MatchString(format):
		return "", errors.New("printf: the verb p is not allowed")
	case wideVerb.MatchString(format):
		return "", errors.New("printf: widths of more than 999 are not allowed")
	case strings.Count(format, "%") > maxArguments:
		return "", fmt.Errorf("printf: more than %d verbs are not allowed", maxArguments)
	}
	return b.addOutput(fmt.Sprintf(format, values...))
}

// limited limits the arguments of a function and counts its output.
func (b *budget) limited(make func(...any) string) func(...any) (string, error) {
	return func(values ...any) (string, error) {
		if len(values) > maxArguments {
			return "", fmt.Errorf("more than %d arguments are not allowed", maxArguments)
		}
		return b.addOutput(make(values...))
	}
}
