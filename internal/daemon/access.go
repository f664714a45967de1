package daemon

import (
	"time"

	"github.com/mulberrybank/mulberrybank/internal/admin"
	"github.com/mulberrybank/mulberrybank/internal/settings"
)

// authorizer decides on requests to the administration API, nil when it is
// open to all.
func (d *Daemon) authorizer() admin.Authorizer {
	if d.settings.Admin.Access != settings.AccessTokens {
		d.log.Warn("The administration API is open to all.")
		return nil
	}
	return &admin.TokenAuthorizer{Config: d.enforcer, RootSHA256: d.settings.Admin.RootSHA256}
}

// quota limits publications by workspace through this daemon.
func (d *Daemon) quota() admin.Quota {
	return admin.Quota{
		Interval: time.Duration(d.settings.Admin.PublishInterval),
		Burst:    d.settings.Admin.PublishBurst,
	}
}
