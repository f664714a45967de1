package admin

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// publish submits a publication and responds with its verdict.
func (s *Server) publish(w http.ResponseWriter, r *request) error {
	publication, err := s.readPublication(r)
	if err != nil {
		return err
	}
	return s.submit(w, r, publication)
}

// validate responds with the verdict that a publication would get now.
func (s *Server) validate(w http.ResponseWriter, r *request) error {
	publication, err := s.readPublication(r)
	if err != nil {
		return err
	}
	if err := s.acquireReplay(r.Context()); err != nil {
		return err
	}
	defer s.releaseReplay()
	verdict, _, err := s.dryRun(publication)
	if err != nil {
		return unavailable("validate", err)
	}
	return writeJSON(w, http.StatusOK, fromVerdict(verdict))
}

// rollback publishes the content of an old version as a new version.
func (s *Server) rollback(w http.ResponseWriter, r *request) error {
	var body Rollback
	if err := readBody(r, &body); err != nil {
		return err
	}
	if err := checkID(body.ID); err != nil {
		return err
	}
	current, err := s.sourceAt(r.Context(), r.workspace(), 0)
	if err != nil {
		return err
	}
	old, err := s.sourceAt(r.Context(), r.workspace(), body.Version)
	if err != nil {
		return err
	}
	publication := publish.Diff(current.Source, old.Source)
	publication.Base = uint64(current.version)
	publication.Id = body.ID
	if body.Base != 0 {
		publication.Base = body.Base
	}
	publication.Author = effectiveAuthor(r.principal, body.Author)
	publication.Reason = body.Reason
	publication.Daemon = s.Host
	return s.submit(w, r, publication)
}

// readPublication decodes a publication and authorizes the request for its
// workspace.
func (s *Server) readPublication(r *request) (*publish.Publication, error) {
	var body Publication
	if err := readBody(r, &body); err != nil {
		return nil, err
	}
	if body.Workspace == "" {
		return nil, badRequest("workspace: a name is required")
	}
	if problem := s.authorize(r, body.Workspace); problem != nil {
		return nil, problem
	}
	if err := checkID(body.ID); err != nil {
		return nil, err
	}
	body.Author = effectiveAuthor(r.principal, body.Author)
	return ToPublication(&body, s.Host), nil
}

func checkID(id string) error {
	if _, err := uuid.Parse(id); err != nil {
		return badRequest("id: found %q, expected a UUID", truncate(id))
	}
	return nil
}

// maxQuotedBytes limits how much of an invalid value an error message quotes.
const maxQuotedBytes = 64

func truncate(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return text[:maxQuotedBytes] + "..."
}

// effectiveAuthor returns the name of the token's holder, or the author that the
// request claims when the holder has no name.
func effectiveAuthor(principal Principal, claimed string) string {
	if principal.Name != "" {
		return principal.Name
	}
	return claimed
}

// submitTimeout limits how long a request waits for the verdict on its publication.
// It is below the default time limit of clients, so that they learn its id.
const submitTimeout = 8 * time.Second

// submit appends a publication and responds with its verdict.
func (s *Server) submit(w http.ResponseWriter, r *request, publication *publish.Publication) error {
	if problem := s.quotas.consume(publication.GetWorkspace()); problem != nil {
		return problem
	}
	refusal, err := s.checkTokenChange(r.principal, publication)
	if err != nil {
		return err
	}
	if refusal != nil {
		return s.respond(w, *refusal)
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	verdict, err := s.Submitter.Submit(ctx, publication)
	var notWritten *publish.NotWrittenError
	switch {
	case err == nil:
		return s.respond(w, verdict)
	case errors.As(err, &notWritten):
		return unavailable("append", err)
	default:
		return &Problem{Type: TypeUnknownResult, Title: "the publication may have taken effect", Status: http.StatusGatewayTimeout,
			Detail: "retry with the same id: " + err.Error(), Step: "append"}
	}
}

// respond counts a verdict by outcome and responds with it.
func (s *Server) respond(w http.ResponseWriter, verdict publish.Verdict) error {
	name := `mulberrybank_admin_publications_total{outcome=` + strconv.Quote(verdict.Outcome.String()) + `}`
	s.Metrics.GetOrCreateCounter(name).Inc()
	return writeJSON(w, statusOf(verdict), fromVerdict(verdict))
}

// statusOf maps a verdict to the HTTP status of the response.
func statusOf(verdict publish.Verdict) int {
	switch verdict.Outcome {
	case publish.Accepted, publish.Duplicate:
		return http.StatusOK
	case publish.Conflict:
		return http.StatusConflict
	default:
		return http.StatusUnprocessableEntity
	}
}
