package daemon

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/mulberrybank/mulberrybank/internal/settings"
)

// Reload takes new settings while the daemon runs. The log level and the
// service of the target come into force at once, everything else with the next
// start. The error says what could not be taken; the settings in force stay.
func (d *Daemon) Reload(next *settings.Settings) error {
	level, err := logrus.ParseLevel(next.Log.Level)
	if err != nil {
		return fmt.Errorf("reload settings of %s: %w", d.identity.Host, err)
	}
	current := *d.Settings()
	current.Log = next.Log
	current.Target.Service = next.Target.Service
	d.logger.SetLevel(level)
	d.reloaded.Store(&current)
	d.log.WithField("level", level).Info("settings were read again")
	return nil
}
