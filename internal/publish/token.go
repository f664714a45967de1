package publish

import (
	"crypto/sha256"
	"encoding/hex"
	"regexp"
)

// Role defines what the holder of a token may do in its workspace.
type Role string

// Roles in ascending order. A role includes those before it.
const (
	// Reader may read configuration, history and status.
	Reader Role = "reader"
	// Publisher may also publish and roll back.
	Publisher Role = "publisher"
	// Administrator may also change tokens.
	Administrator Role = "administrator"
)

// Rank orders roles from 1. It is 0 for an unknown role.
func (r Role) Rank() int {
	switch r {
	case Reader:
		return 1
	case Publisher:
		return 2
	case Administrator:
		return 3
	default:
		return 0
	}
}

// Includes reports whether a role has all permissions of another one.
func (r Role) Includes(other Role) bool { return r.Rank() > 0 && r.Rank() >= other.Rank() }

// Token grants its holder a role in the workspace that lists it.
type Token struct {
	// Name is recorded as the author of the holder's publications.
	Name string `json:"name"`
	// SHA256 is the hash of the token in lower-case hexadecimal digits.
	SHA256 string `json:"sha256"`
	Role   Role   `json:"role"`
}

// HashToken returns the hash by which a workspace lists a token.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// checkTokens checks the tokens of a workspace.
func checkTokens(found *problems, tokens []Token) {
	found.checkCount("tokens", len(tokens), MaxTokens)
	names := map[string]bool{}
	for _, token := range tokens {
		place := "token " + truncate(token.Name, MaxNameBytes)
		found.checkName(place, token.Name, namePattern)
		if names[token.Name] {
			found.add(place, "is defined twice")
		}
		names[token.Name] = true
		if !hashPattern.MatchString(token.SHA256) {
			found.add(place, "sha256 is not 64 lower-case hexadecimal digits")
		}
		if token.Role.Rank() == 0 {
			found.add(place, "role %q is not reader, publisher or administrator", truncate(string(token.Role), MaxNameBytes))
		}
	}
}
