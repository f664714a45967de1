// Package logging provides the loggers of the components of a process. Their
// lines are rate limited by kind, and their messages begin with the name of the
// component.
package logging

import (
	"io"

	"github.com/sirupsen/logrus"
)

// New returns the logger of a process. level is the name of a logrus level. Lines
// that exceed the rate limit of their kind are dropped and counted.
func New(out io.Writer, level string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(newLimitedFormatter(&logrus.TextFormatter{DisableColors: true}, out))
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

// componentField is the log field that contains the name of the component.
const componentField = "part"

// ForComponent returns the logger of one component, such as "distribute".
func ForComponent(log *logrus.Logger, component string) *logrus.Entry {
	return log.WithField(componentField, component)
}

// prefixHook prepends the name of the component to each message.
type prefixHook struct{}

func (prefixHook) Levels() []logrus.Level { return logrus.AllLevels }

func (prefixHook) Fire(entry *logrus.Entry) error {
	if component, ok := entry.Data[componentField].(string); ok {
		entry.Message = component + ": " + entry.Message
	}
	return nil
}
