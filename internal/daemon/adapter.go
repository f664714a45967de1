package daemon

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/settings"
)

// Adapter translates between the daemon and the foreign interfaces of callers,
// targets and a platform. It makes no decisions.
type Adapter interface {
	// NewLogClient returns a client of the platform's log that sends its requests
	// through transport.
	NewLogClient(settings *settings.Settings, transport http.RoundTripper, logger *logrus.Logger) platform.KeyedLog
	// CallerHandler handles the requests of callers.
	CallerHandler(calls *call.Server, configurations call.ConfigurationSource, settings SettingsSource) http.Handler
	// AnnounceHandler handles the announcements of the target on this host.
	AnnounceHandler(members *membership.Membership, settings SettingsSource, logger *logrus.Logger) http.Handler
	// Dialect returns the protocol conventions of the target on this host.
	Dialect() call.Dialect
	// ReadinessHandler handles checks of whether this daemon accepts callers.
	ReadinessHandler(ready func() bool) http.Handler
	// DecodeConfiguration decodes a configuration as the platform's operators write it.
	DecodeConfiguration(text []byte) (*publish.Whole, error)
}

// SettingsSource provides the current settings, which a reload may replace.
type SettingsSource interface {
	Settings() *settings.Settings
}
