package admin

import (
	_ "embed"
	"net/http"
)

// OpenAPI is the OpenAPI description of the API.
//
//go:embed openapi.json
var OpenAPI []byte

// openAPI serves the OpenAPI description.
func (s *Server) openAPI(w http.ResponseWriter, _ *request) error {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected.
	_, _ = w.Write(OpenAPI)
	return nil
}
