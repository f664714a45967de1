package admin

import (
	"errors"
	"net/http"
	"strings"
)

// Role is what a token may do in a workspace. A higher role includes the lower.
type Role int

// Roles.
const (
	// Public needs no token.
	Public Role = iota
	// Reader may read configuration, history and status.
	Reader
	// Publisher may also publish and roll back.
	Publisher
	// Administrator may also change tokens, drain hosts and read events.
	Administrator
)

func (r Role) String() string {
	switch r {
	case Public:
		return "public"
	case Reader:
		return "reader"
	case Publisher:
		return "publisher"
	default:
		return "administrator"
	}
}

// ParseRole reads the name of a role that a token may have.
func ParseRole(name string) (Role, bool) {
	for _, role := range []Role{Reader, Publisher, Administrator} {
		if role.String() == name {
			return role, true
		}
	}
	return Public, false
}

// Principal is who made a request.
type Principal struct {
	// Name is recorded as the author of publications, empty when unknown.
	Name string
}

// Authorizer decides who may do what.
type Authorizer interface {
	// Authorize returns who holds a token that has at least a role in a
	// workspace; an empty workspace stands for the whole mesh. The error is
	// ErrNoToken or ErrForbidden.
	Authorize(token, workspace string, role Role) (Principal, error)
}

// Errors of an Authorizer.
var (
	ErrNoToken   = errors.New("no valid token")
	ErrForbidden = errors.New("the token does not have the role")
)

// allowAll is the authorizer of a daemon without access control.
type allowAll struct{}

func (allowAll) Authorize(string, string, Role) (Principal, error) { return Principal{}, nil }

// authorize returns the principal of a request or the problem to answer with.
func (s *Server) authorize(r *http.Request, workspace string, role Role) (Principal, *Problem) {
	if role == Public {
		return Principal{}, nil
	}
	principal, err := s.Authorizer.Authorize(bearer(r), workspace, role)
	switch {
	case err == nil:
		return principal, nil
	case errors.Is(err, ErrNoToken):
		return principal, &Problem{Type: TypeUnauthorized, Title: "a valid token is needed", Status: http.StatusUnauthorized}
	default:
		return principal, &Problem{Type: TypeForbidden, Title: "the token does not allow this", Status: http.StatusForbidden,
			Detail: "role " + role.String() + " is needed"}
	}
}

func bearer(r *http.Request) string {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return ""
	}
	return token
}
