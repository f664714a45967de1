// Package logging gives every part of the daemon a logger whose lines begin
// with a fixed prefix.
package logging

import (
	"io"

	"github.com/sirupsen/logrus"
)

// New returns the logger of one process. level is a logrus level name. Lines
// over a rate are dropped and counted.
func New(out io.Writer, level string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(newLimitedWriter(out))
	log.SetLevel(parsed)
	log.AddHook(prefixHook{})
	return log, nil
}

// Discard returns a logger that writes nothing.
func Discard() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// partField is the field that holds the name of the part.
const partField = "part"

// ForComponent returns the logger of one part, such as "distribute".
func ForComponent(log *logrus.Logger, part string) *logrus.Entry {
	return log.WithField(partField, part)
}

// prefixHook puts the name of the part before each message.
type prefixHook struct{}

func (prefixHook) Levels() []logrus.Level { return logrus.AllLevels }

func (prefixHook) Fire(entry *logrus.Entry) error {
	if part, ok := entry.Data[partField].(string); ok {
		entry.Message = part + ": " + entry.Message
	}
	return nil
}
