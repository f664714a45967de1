package admin

import (
	"errors"
	"net/http"
	"strings"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// Public is the role of requests that need no token.
const Public publish.Role = "public"

// Principal is the authenticated sender of a request.
type Principal struct {
	// Name is recorded as the author of publications, empty when unknown.
	Name string
	// Role is the principal's role in the workspace of the request.
	Role publish.Role
}

// Authorizer decides whether a request is allowed.
type Authorizer interface {
	// Authorize returns the holder of a token, which must have at least the given
	// role in a workspace. An empty workspace stands for the mesh. The error is
	// ErrUnauthenticated or ErrForbidden.
	Authorize(token, workspace string, role publish.Role) (Principal, error)
}

// Errors returned by an Authorizer.
var (
	ErrUnauthenticated = errors.New("no valid token")
	ErrForbidden       = errors.New("the token lacks the required role")
)

// allowAll is the Authorizer of a daemon without access control.
type allowAll struct{}

func (allowAll) Authorize(string, string, publish.Role) (Principal, error) {
	return Principal{Role: publish.Administrator}, nil
}

// authorize sets the principal of a request, or returns the problem to respond
// with.
func (s *Server) authorize(r *request, workspace string) *Problem {
	if r.role == Public {
		return nil
	}
	principal, err := s.Authorizer.Authorize(bearerToken(r.Request), workspace, r.role)
	switch {
	case err == nil:
		r.principal = principal
		return nil
	case errors.Is(err, ErrUnauthenticated):
		return &Problem{Type: TypeUnauthorized, Title: "a valid token is needed", Status: http.StatusUnauthorized}
	default:
		return forbidden("role " + string(r.role) + " is needed")
	}
}

func forbidden(detail string) *Problem {
	return &Problem{Type: TypeForbidden, Title: "the token does not allow this", Status: http.StatusForbidden, Detail: detail}
}

// bearerToken returns the token of the Authorization header, empty for none.
func bearerToken(r *http.Request) string {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return ""
	}
	return token
}
