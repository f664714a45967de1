package admin

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// history responds with the retained verdicts of one workspace, oldest first.
func (s *Server) history(w http.ResponseWriter, r *request) error {
	history := History{Workspace: r.workspace(), Verdicts: []Verdict{}}
	for _, verdict := range s.Enforcer.Verdicts() {
		if verdict.Workspace == r.workspace() {
			history.Verdicts = append(history.Verdicts, fromVerdict(verdict))
		}
	}
	return writeJSON(w, http.StatusOK, history)
}

// source responds with the source of a workspace. The query parameter "version"
// selects an old version.
func (s *Server) source(w http.ResponseWriter, r *request) error {
	version, err := versionParam(r, "version")
	if err != nil {
		return err
	}
	source, err := s.sourceAt(r.Context(), r.workspace(), version)
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, fromSource(source))
}

// diff responds with the differences between two versions as rendered. If "to" is
// missing, it is the current version.
func (s *Server) diff(w http.ResponseWriter, r *request) error {
	from, err := versionParam(r, "from")
	if err != nil {
		return err
	}
	if from == 0 {
		return badRequest("from: a version is needed")
	}
	to, err := versionParam(r, "to")
	if err != nil {
		return err
	}
	before, err := s.sourceAt(r.Context(), r.workspace(), from)
	if err != nil {
		return err
	}
	after, err := s.sourceAt(r.Context(), r.workspace(), to)
	if err != nil {
		return err
	}
	changes, err := s.compare(before, after)
	if err != nil {
		return err
	}
	response := Diff{Workspace: r.workspace(), From: uint64(before.version), To: uint64(after.version), Changes: changes}
	return writeJSON(w, http.StatusOK, response)
}

// compare renders two sources and returns the differences.
func (s *Server) compare(before, after versionedSource) ([]Change, error) {
	from, problems := publish.Render(before.Source)
	if len(problems) > 0 {
		return nil, badRequest("version %d does not render: %s", before.version, problems[0])
	}
	to, problems := publish.Render(after.Source)
	if len(problems) > 0 {
		return nil, badRequest("version %d does not render: %s", after.version, problems[0])
	}
	return Compare(from, to), nil
}

// sourceAt returns the source of a workspace at a version, 0 for the current one.
func (s *Server) sourceAt(ctx context.Context, workspace string, version uint64) (versionedSource, error) {
	current, at, ok := s.Enforcer.Source(workspace)
	if !ok {
		return versionedSource{}, notFound("workspace %s", truncate(workspace))
	}
	if version == 0 || version == uint64(at) {
		return versionedSource{current, at}, nil
	}
	if err := s.acquireReplay(ctx); err != nil {
		return versionedSource{}, err
	}
	defer s.releaseReplay()
	old, err := s.Archive.SourceAt(ctx, workspace, publish.Version(version))
	if err != nil {
		return versionedSource{}, archiveProblem(workspace, version, err)
	}
	return versionedSource{old, publish.Version(version)}, nil
}

// archiveProblem returns the problem for a version that the archive did not return: it
// does not exist or is no longer retained, or the log could not be read.
func archiveProblem(workspace string, version uint64, err error) *Problem {
	var expired *platform.ExpiredError
	if errors.Is(err, ErrVersionNotFound) || errors.As(err, &expired) {
		return notFound("workspace %s at version %d: %v", truncate(workspace), version, err)
	}
	return unavailable("read old version", err)
}

// acquireReplay waits until the request may rebuild old state. The caller must call
// releaseReplay afterwards.
func (s *Server) acquireReplay(ctx context.Context) error {
	select {
	case s.replaySemaphore <- struct{}{}:
		return nil
	case <-ctx.Done():
		return unavailable("wait for other requests", ctx.Err())
	}
}

func (s *Server) releaseReplay() { <-s.replaySemaphore }

// versionParam parses a version from the query. It is 0 when missing.
func versionParam(r *request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil || version == 0 {
		return 0, badRequest("%s: found %q, expected a version, 1 or higher", name, truncate(text))
	}
	return version, nil
}
