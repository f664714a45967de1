package logging

import (
	"context"

	"github.com/sirupsen/logrus"
)

// Kind is a group of log lines. Each has a rate limit of its own, so that the lines
// of one do not displace those of another.
type Kind int

// Kinds of lines.
const (
	// State lines tell what a process does and what it knows. Lines have this kind
	// unless OfKind gives them another one.
	State Kind = iota
	// Decision lines tell of decisions on requests that did not fail, or have not
	// failed yet.
	Decision
	// Rejection lines tell why requests that are invalid or match no route failed.
	Rejection
	// Failure lines tell why other requests failed.
	Failure
	kindCount
)

func (k Kind) String() string {
	return [kindCount]string{"state", "decision", "rejection", "failure"}[k]
}

// kindKey is the key of the kind in the context of a log entry.
type kindKey struct{}

// OfKind returns a logger of lines of one kind.
func OfKind(log *logrus.Entry, kind Kind) *logrus.Entry {
	return log.WithContext(context.WithValue(context.Background(), kindKey{}, kind))
}

// kindOf returns the kind of a line.
func kindOf(entry *logrus.Entry) Kind {
	if entry.Context == nil {
		return State
	}
	kind, _ := entry.Context.Value(kindKey{}).(Kind)
	return kind
}
