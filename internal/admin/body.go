package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// readBody decodes a JSON request body and rejects unknown fields.
func readBody(r *request, into any) error {
	data, err := io.ReadAll(r.Body)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return &Problem{Type: TypeTooLarge, Title: "the body is too large", Status: http.StatusRequestEntityTooLarge,
			Detail: fmt.Sprintf("at most %d bytes are allowed", large.Limit)}
	}
	if err != nil {
		return badRequest("read body: %v", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return badRequest("body, near byte %d: %v", decoder.InputOffset(), err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return badRequest("body: more than one JSON value")
	}
	return nil
}

func writeJSON(w http.ResponseWriter, status int, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode response: %w", err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client has disconnected.
	_, _ = w.Write(append(data, '\n'))
	return nil
}
