package publish

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/template"
)

// Render renders a source to a workspace. If there are problems, it returns the
// problems found and a nil workspace. It does not check whether services of other
// workspaces exist.
func Render(source *Source) (*Workspace, []Problem) {
	if problems := checkSource(source); len(problems) > 0 {
		return nil, problems
	}
	values, problems := parseParameters(source.Parameters)
	if len(problems) > 0 {
		return nil, problems
	}
	documents, problems := renderTemplates(source.Templates, values)
	if len(problems) > 0 {
		return nil, problems
	}
	workspace := &Workspace{Name: source.Name}
	for _, rendered := range documents {
		for _, service := range rendered.Services {
			workspace.Services = append(workspace.Services, service.service(source.Name))
		}
		for _, route := range rendered.Routes {
			workspace.Routes = append(workspace.Routes, route.route(source.Name))
		}
		workspace.Tokens = append(workspace.Tokens, rendered.Tokens...)
	}
	if problems := checkWorkspace(workspace); len(problems) > 0 {
		return nil, problems
	}
	slices.SortFunc(workspace.Services, func(a, b *Service) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(workspace.Tokens, func(a, b Token) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(workspace.Routes, func(a, b *Route) int { return strings.Compare(a.Name, b.Name) })
	return workspace, nil
}

// parseParameters decodes the parameter values of a workspace.
func parseParameters(parameters map[string]string) (map[string]any, []Problem) {
	values := make(map[string]any, len(parameters))
	var problems []Problem
	for _, name := range slices.Sorted(maps.Keys(parameters)) {
		value, err := parseValue(parameters[name])
		if err != nil {
			problems = append(problems, problemOf("parameter "+name, err))
			continue
		}
		values[name] = value
	}
	return values, problems
}

// parseValue decodes one JSON value. Numbers become int64 where they fit.
func parseValue(text string) (any, error) {
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return nil, fmt.Errorf("not a JSON value: %w", err)
	}
	if decoder.More() {
		return nil, errors.New("more than one JSON value")
	}
	return convertNumbers(value)
}

func convertNumbers(value any) (any, error) {
	switch typed := value.(type) {
	case json.Number:
		if integer, err := strconv.ParseInt(typed.String(), 10, 64); err == nil {
			return integer, nil
		}
		return typed.Float64()
	case []any:
		for i := range typed {
			converted, err := convertNumbers(typed[i])
			if err != nil {
				return nil, err
			}
			typed[i] = converted
		}
	case map[string]any:
		for name := range typed {
			converted, err := convertNumbers(typed[name])
			if err != nil {
				return nil, err
			}
			typed[name] = converted
		}
	}
	return value, nil
}

// renderTemplates executes every template and decodes the rendered documents.
func renderTemplates(templates map[string]string, values map[string]any) ([]document, []Problem) {
	names := slices.Sorted(maps.Keys(templates))
	cost := &budget{}
	set := template.New("").Option("missingkey=error").Funcs(cost.functions())
	for _, name := range names {
		if _, err := set.New(name).Parse(templates[name]); err != nil {
			return nil, []Problem{problemOf("template "+name, err)}
		}
	}
	if err := cost.addStepCounters(set); err != nil {
		return nil, []Problem{problemOf("templates", err)}
	}
	output := &limitedBuffer{remaining: MaxRenderedBytes}
	var documents []document
	var problems []Problem
	for _, name := range names {
		rendered, err := renderTemplate(set.Lookup(name), values, output)
		if err != nil {
			problems = append(problems, problemOf("template "+name, err))
			continue
		}
		documents = append(documents, rendered)
	}
	return documents, problems
}

// renderTemplate executes one template. Output that is only white space, such as
// that of a template with nothing but definitions, is an empty document.
func renderTemplate(tmpl *template.Template, values map[string]any, output *limitedBuffer) (document, error) {
	output.text.Reset()
	if err := tmpl.Execute(output, values); err != nil {
		return document{}, err
	}
	var rendered document
	if strings.TrimSpace(output.text.String()) == "" {
		return rendered, nil
	}
	if err := decodeDocument([]byte(output.text.String()), &rendered); err != nil {
		return document{}, fmt.Errorf("rendered document: %w", err)
	}
	return rendered, nil
}

// limitedBuffer is a buffer that fails when the rendered templates of a workspace
// exceed MaxRenderedBytes in total.
type limitedBuffer struct {
	text      strings.Builder
	remaining int
}

// Write appends text, or fails when it exceeds the remaining space.
func (b *limitedBuffer) Write(text []byte) (int, error) {
	if len(text) > b.remaining {
		return 0, fmt.Errorf("templates render to more than %d bytes", MaxRenderedBytes)
	}
	b.remaining -= len(text)
	return b.text.Write(text)
}
