package admin_test

import (
	"encoding/json"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pb33f/libopenapi"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/admin"
	"github.com/mulberrybank/mulberrybank/internal/admin/admintest"
	"github.com/mulberrybank/mulberrybank/internal/standin/logservice"
)

// openAPIDocument is the part of the document that the tests compare with the code.
type openAPIDocument struct {
	Paths map[string]map[string]struct {
		Role       string `json:"x-role"`
		Security   []any  `json:"security"`
		Parameters []struct{ Name, In string }
	}
	Components struct {
		Schemas map[string]schema
	}
}

type schema struct {
	Type       string
	Properties map[string]json.RawMessage
	Required   []string
}

func readDocument(t *testing.T) openAPIDocument {
	t.Helper()
	var d openAPIDocument
	assert.NilError(t, json.Unmarshal(admin.OpenAPI, &d))
	return d
}

func TestOpenAPIIsValid(t *testing.T) {
	document, err := libopenapi.NewDocument(admin.OpenAPI)
	assert.NilError(t, err)
	model, err := document.BuildV3Model()
	assert.NilError(t, err)
	assert.Equal(t, model.Model.Info.Version, "1")
}

var pathParameter = regexp.MustCompile(`:([a-z]+)`)

func TestOpenAPIDescribesTheRoutes(t *testing.T) {
	server := admin.New(admintest.New(logservice.New(logservice.Options{})).Options())
	documented := readDocument(t).Paths
	var routes, operations []string
	for _, route := range server.Routes() {
		path := pathParameter.ReplaceAllString(route.Path, "{$1}")
		method := strings.ToLower(route.Method)
		routes = append(routes, method+" "+path)
		operation := documented[path][method]
		assert.Equal(t, operation.Role, string(route.Role), path)
		assert.Equal(t, len(operation.Security) > 0, route.Role != admin.Public, path)
		var inPath []string
		for _, parameter := range operation.Parameters {
			if parameter.In == "path" {
				inPath = append(inPath, parameter.Name)
			}
		}
		var parameters []string
		for _, match := range pathParameter.FindAllStringSubmatch(route.Path, -1) {
			parameters = append(parameters, match[1])
		}
		assert.DeepEqual(t, inPath, parameters)
	}
	for path, methods := range documented {
		for method := range methods {
			operations = append(operations, method+" "+path)
		}
	}
	slices.Sort(routes)
	slices.Sort(operations)
	assert.DeepEqual(t, operations, routes)
}

func TestOpenAPIDescribesTheTypes(t *testing.T) {
	types := []any{
		admin.Publication{}, admin.Rollback{}, admin.Fault{}, admin.Verdict{}, admin.History{},
		admin.Source{}, admin.Change{}, admin.Diff{}, admin.Missing{}, admin.Convergence{}, admin.Status{},
		admin.Member{}, admin.Members{}, admin.Rollout{}, admin.Rollouts{}, admin.Readiness{}, admin.DrainState{}, admin.Problem{},
	}
	schemas := readDocument(t).Components.Schemas
	assert.Equal(t, len(schemas), len(types))
	for _, value := range types {
		goType := reflect.TypeOf(value)
		documented, ok := schemas[goType.Name()]
		assert.Assert(t, ok, goType.Name())
		properties := map[string]string{}
		var required []string
		for i := range goType.NumField() {
			name, options, _ := strings.Cut(goType.Field(i).Tag.Get("json"), ",")
			properties[name] = jsonType(goType.Field(i).Type)
			if options == "" {
				required = append(required, name)
			}
		}
		documentedProperties := map[string]string{}
		for name, property := range documented.Properties {
			documentedProperties[name] = documentedType(t, property)
		}
		assert.DeepEqual(t, documentedProperties, properties)
		assert.DeepEqual(t, documented.Required, required)
	}
}

// jsonType returns the JSON type of a Go type, in the notation of documentedType.
func jsonType(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[time.Time]():
		return "string"
	case t == reflect.TypeFor[json.RawMessage]():
		return "any"
	}
	switch t.Kind() {
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "boolean"
	case reflect.Struct:
		return t.Name()
	case reflect.Slice:
		return "list of " + jsonType(t.Elem())
	case reflect.Map:
		return "map of " + jsonType(t.Elem())
	default:
		return "integer"
	}
}

// documentedType returns the JSON type that a schema of the document describes.
func documentedType(t *testing.T, raw json.RawMessage) string {
	t.Helper()
	var s struct {
		Type       string
		Ref        string `json:"$ref"`
		Items      json.RawMessage
		Additional json.RawMessage `json:"additionalProperties"`
	}
	assert.NilError(t, json.Unmarshal(raw, &s))
	switch {
	case s.Ref != "":
		return strings.TrimPrefix(s.Ref, "#/components/schemas/")
	case s.Type == "array":
		return "list of " + documentedType(t, s.Items)
	case s.Type == "object":
		return "map of " + documentedType(t, s.Additional)
	case s.Type == "":
		return "any"
	default:
		return s.Type
	}
}
