package admin

import (
	"errors"
	"net/http"
	"strings"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// Public is the role of requests that need no token.
const Public publish.Role = "public"

// Principal is who made a request.
type Principal struct {
	// Name is recorded as the author of publications, empty when unknown.
	Name string
	// Role is the principal's role in the workspace asked for.
	Role publish.Role
}

// Authorizer decides who may do what.
type Authorizer interface {
	// Authorize returns who holds a token that has at least a role in a
	// workspace; an empty workspace stands for the whole mesh. The error is
	// ErrNoToken or ErrForbidden.
	Authorize(token, workspace string, role publish.Role) (Principal, error)
}

// Errors of an Authorizer.
var (
	ErrNoToken   = errors.New("no valid token")
	ErrForbidden = errors.New("the token does not have the role")
)

// allowAll is the authorizer of a daemon without access control.
type allowAll struct{}

func (allowAll) Authorize(string, string, publish.Role) (Principal, error) {
	return Principal{Role: publish.Administrator}, nil
}

// authorize sets the principal of a request, or returns the problem to answer
// with.
func (s *Server) authorize(r *request, workspace string) *Problem {
	if r.role == Public {
		return nil
	}
	principal, err := s.Authorizer.Authorize(bearer(r.Request), workspace, r.role)
	switch {
	case err == nil:
		r.principal = principal
		return nil
	case errors.Is(err, ErrNoToken):
		return &Problem{Type: TypeUnauthorized, Title: "a valid token is needed", Status: http.StatusUnauthorized}
	default:
		return forbidden("role " + string(r.role) + " is needed")
	}
}

func forbidden(detail string) *Problem {
	return &Problem{Type: TypeForbidden, Title: "the token does not allow this", Status: http.StatusForbidden, Detail: detail}
}

func bearer(r *http.Request) string {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return ""
	}
	return token
}
