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
	// NewLogClient returns the platform's log over a transport.
	NewLogClient(settings *settings.Settings, transport http.RoundTripper, logger *logrus.Logger) platform.KeyedLog
	// CallerHandler serves callers.
	CallerHandler(calls *call.Server, tables call.ConfigurationSource, settings SettingsSource) http.Handler
	// AnnounceHandler serves the target of this host.
	AnnounceHandler(members *membership.Membership, settings SettingsSource, logger *logrus.Logger) http.Handler
	// Dialect is how the target of this host is spoken to.
	Dialect() call.Dialect
	// ReadinessHandler serves those who ask whether this daemon takes callers.
	ReadinessHandler(ready func() bool) http.Handler
}

// SettingsSource gives the settings in force, which a reload may replace.
type SettingsSource interface {
	Settings() *settings.Settings
}
