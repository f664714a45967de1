package cli

import (
	"os/user"

	"github.com/google/uuid"
)

// authorship holds the options that say who publishes and why.
type authorship struct {
	Author string `arg:"--author" help:"who publishes, the current user when left out; a token's name goes before"`
	Reason string `arg:"--reason" help:"why, as shown by history"`
}

func (a *authorship) author() string {
	if a.Author != "" {
		return a.Author
	}
	current, err := user.Current()
	if err != nil {
		return ""
	}
	return current.Username
}

// newID mints the id of a publication. Its time makes ids sort by age.
func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}
