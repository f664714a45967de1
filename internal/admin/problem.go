package admin

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// Problem is an error response in the problem details format of RFC 9457.
type Problem struct {
	// Type is a URN that identifies the problem type.
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Step is the step of the operation that failed. Client sets Peer to the URL of
	// the daemon.
	Step string `json:"step,omitempty"`
	Peer string `json:"peer,omitempty"`
}

func (p *Problem) Error() string {
	text := fmt.Sprintf("%s (%d)", p.Title, p.Status)
	if p.Detail != "" {
		text += ": " + p.Detail
	}
	return text
}

// ProblemContentType is the media type of a Problem.
const ProblemContentType = "application/problem+json"

// Problem types.
const (
	TypeBadRequest       = "urn:mulberrybank:bad-request"
	TypeTooLarge         = "urn:mulberrybank:too-large"
	TypeNotFound         = "urn:mulberrybank:not-found"
	TypeMethodNotAllowed = "urn:mulberrybank:method-not-allowed"
	TypeUnauthorized     = "urn:mulberrybank:unauthorized"
	TypeForbidden        = "urn:mulberrybank:forbidden"
	TypeQuotaExceeded    = "urn:mulberrybank:quota-exceeded"
	TypeUnavailable      = "urn:mulberrybank:unavailable"
	TypeUnknownResult    = "urn:mulberrybank:unknown-result"
	TypeInternal         = "urn:mulberrybank:internal"
)

func badRequest(format string, args ...any) *Problem {
	return &Problem{Type: TypeBadRequest, Title: "the request is malformed", Status: http.StatusBadRequest,
		Detail: fmt.Sprintf(format, args...)}
}

func notFound(format string, args ...any) *Problem {
	return &Problem{Type: TypeNotFound, Title: "there is no such resource", Status: http.StatusNotFound,
		Detail: fmt.Sprintf(format, args...)}
}

func unavailable(step string, err error) *Problem {
	return &Problem{Type: TypeUnavailable, Title: "the operation was not done", Status: http.StatusServiceUnavailable,
		Detail: err.Error(), Step: step}
}

func writeProblem(w http.ResponseWriter, problem *Problem) {
	w.Header().Set("Content-Type", ProblemContentType)
	w.WriteHeader(problem.Status)
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(problem)
}
