package publish

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io/fs"
	"os"
	"path"

	"github.com/tailscale/hujson"
)

// Files of a workspace directory.
const (
	workspaceFile  = "workspace.json"
	parametersFile = "parameters.json"
	templateGlob   = "templates/*.tmpl"
)

// workspaceDocument is the content of workspace.json.
type workspaceDocument struct {
	Name string `json:"name"`
}

// LoadDirectory reads a workspace from a directory with workspace.json,
// parameters.json and templates/*.tmpl. The JSON files may contain comments.
func LoadDirectory(dir string) (*Source, error) {
	return LoadFS(os.DirFS(dir))
}

// LoadFS reads a workspace from the root of a file system that contains the files
// described at LoadDirectory.
func LoadFS(files fs.FS) (*Source, error) {
	var workspace workspaceDocument
	if err := loadJSON(files, workspaceFile, &workspace); err != nil {
		return nil, err
	}
	var values map[string]json.RawMessage
	if err := loadJSON(files, parametersFile, &values); err != nil {
		return nil, err
	}
	parameters, err := compactValues(values)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", parametersFile, err)
	}
	templates, err := loadTemplates(files)
	if err != nil {
		return nil, err
	}
	return &Source{Name: workspace.Name, Templates: templates, Parameters: parameters}, nil
}

func loadTemplates(files fs.FS) (map[string]string, error) {
	names, err := fs.Glob(files, templateGlob)
	if err != nil {
		return nil, fmt.Errorf("find templates: %w", err)
	}
	templates := map[string]string{}
	for _, name := range names {
		text, err := fs.ReadFile(files, name)
		if err != nil {
			return nil, fmt.Errorf("read template: %w", err)
		}
		templates[path.Base(name)] = string(text)
	}
	return templates, nil
}

// loadJSON decodes a file of JSON with comments and rejects unknown fields.
func loadJSON(files fs.FS, name string, into any) error {
	text, err := fs.ReadFile(files, name)
	if err != nil {
		return fmt.Errorf("read workspace file: %w", err)
	}
	if err := decodeDocument(text, into); err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	return nil
}

// decodeDocument decodes JSON with comments and rejects unknown fields.
func decodeDocument(text []byte, into any) error {
	if err := checkNesting(text); err != nil {
		return err
	}
	// hujson requires a line break after every line comment.
	standard, err := hujson.Standardize(append(bytes.Clone(text), '\n'))
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

// compactValues strips insignificant white space, so that formatting makes no
// difference.
func compactValues(values map[string]json.RawMessage) (map[string]string, error) {
	compacted := make(map[string]string, len(values))
	for name, value := range values {
		var buffer bytes.Buffer
		if err := json.Compact(&buffer, value); err != nil {
			return nil, fmt.Errorf("parameter %s: %w", name, err)
		}
		compacted[name] = buffer.String()
	}
	return compacted, nil
}
