package cli

import (
	"os/user"

	"github.com/google/uuid"
)

// authorOptions holds the options for the author and the reason of a publication.
type authorOptions struct {
	Author string `arg:"--author" help:"who publishes, the current user when left out; a token's name goes before"`
	Reason string `arg:"--reason" help:"why, as shown by history"`
}

// author returns the given author, or the name of the current user.
func (a *authorOptions) author() string {
	if a.Author != "" {
		return a.Author
	}
	current, err := user.Current()
	if err != nil {
		return ""
	}
	return current.Username
}

// newID generates the id of a publication: a version 7 UUID, so that ids sort by age.
func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}
