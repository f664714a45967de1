package daemon

import (
	"time"

	"github.com/mulberrybank/mulberrybank/internal/admin"
	"github.com/mulberrybank/mulberrybank/internal/settings"
)

// authorizer returns the authorizer of the administration API, nil when requests
// need no token.
func (d *Daemon) authorizer() admin.Authorizer {
	if d.settings.Admin.Access != settings.AccessTokens {
		d.log.Warn("administration API needs no token, every request is allowed")
		return nil
	}
	return &admin.TokenAuthorizer{Config: d.enforcer, RootSHA256: d.settings.Admin.RootSHA256}
}

// quota returns the limit on publications of each workspace through this daemon.
func (d *Daemon) quota() admin.Quota {
	return admin.Quota{
		Interval: time.Duration(d.settings.Admin.PublishInterval),
		Burst:    d.settings.Admin.PublishBurst,
	}
}
