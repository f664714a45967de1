package daemon

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/mulberrybank/mulberrybank/internal/settings"
)

// Reload applies the log level and the target's service of new settings to the
// running daemon. All other settings take effect at the next start. On an error
// the current settings stay.
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
	d.log.WithField("level", level).Info("settings reloaded")
	return nil
}
