package admin

import (
	_ "embed"
	"net/http"
)

// OpenAPI describes the API in the OpenAPI format.
//
//go:embed openapi.json
var OpenAPI []byte

// openAPI serves the description of the API.
func (s *Server) openAPI(w http.ResponseWriter, _ *request) error {
	w.Header().Set("Content-Type", "application/json")
	// An error here means that the client has gone.
	_, _ = w.Write(OpenAPI)
	return nil
}
