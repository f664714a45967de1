package call

import (
	"errors"
	"net/http"
	"strings"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// Errors of requests that exceed the limits of their workspace.
var (
	errBodyTooLong   = errors.New("the body is longer than the workspace allows")
	errHeaderTooLong = errors.New("the headers are longer than the workspace allows")
)

// headerOverhead is the number of bytes in a header line besides its name and
// value.
const headerOverhead = len(": \r\n")

// limitRequest returns an error for a request that exceeds the limits of its
// workspace, and limits how much can be read of a body of unknown length.
func (s *Server) limitRequest(w http.ResponseWriter, r *http.Request, in InboundCall) *Error {
	limits := workspaceLimits(in)
	if limits == nil {
		return nil
	}
	if limits.HeaderBytes > 0 && headerBytes(r.Header) > limits.HeaderBytes {
		return s.fail(NotRun, StepRequest, http.StatusRequestHeaderFieldsTooLarge, errHeaderTooLong)
	}
	if limits.BodyBytes <= 0 {
		return nil
	}
	if r.ContentLength > limits.BodyBytes {
		return s.fail(NotRun, StepRequest, http.StatusRequestEntityTooLarge, errBodyTooLong)
	}
	r.Body = http.MaxBytesReader(w, r.Body, limits.BodyBytes)
	return nil
}

// workspaceLimits returns the limits of the workspace of a route, nil if it has
// none.
func workspaceLimits(in InboundCall) *publish.Limits {
	name, _, _ := strings.Cut(in.Route.Name, "/")
	workspace := in.Config.Workspaces[name]
	if workspace == nil {
		return nil
	}
	return workspace.Limits
}

// headerBytes returns the size of headers on the wire.
func headerBytes(header http.Header) int64 {
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value) + headerOverhead
		}
	}
	return int64(size)
}
