package daemon

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/settings"
)

// Adapter translates between the daemon and callers, targets and a platform
// that have interfaces of their own. It decides nothing.
type Adapter interface {
	// Log returns the platform's log over a transport.
	Log(settings *settings.Settings, transport http.RoundTripper, logger *logrus.Logger) platform.KeyedLog
	// Callers serves callers.
	Callers(calls *call.Server, tables call.ConfigurationSource, settings Current) http.Handler
	// Announcements serves the target of this host.
	Announcements(members *membership.Membership, settings Current, logger *logrus.Logger) http.Handler
	// Dialect is how the target of this host is spoken to.
	Dialect() call.Dialect
	// Readiness serves those who ask whether this daemon takes callers.
	Readiness(ready func() bool) http.Handler
}

// Current gives the settings in force, which a reload may replace.
type Current interface {
	Settings() *settings.Settings
}
