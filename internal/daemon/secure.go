package daemon

import (
	"crypto/tls"

	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/secure"
)

// loadIdentity reads the TLS identity, if the settings ask for one.
func (d *Daemon) loadIdentity() error {
	files := d.settings.TLS
	if !files.Enabled() {
		d.log.Warn("connections are in plain text, as the settings say")
		return nil
	}
	identity, err := secure.Load(secure.Files{
		Certificate: files.Certificate,
		Key:         files.Key,
		Authority:   files.Authority,
	}, logging.Part(d.logger, "secure"))
	if err != nil {
		return err
	}
	d.secure = identity
	return nil
}

// secureListeners puts TLS on the ports for daemons and operators. Callers
// and the target of the host stay in plain text.
func (d *Daemon) secureListeners() {
	if d.secure == nil {
		return
	}
	d.listen.calls = tls.NewListener(d.listen.calls, d.secure.PeerServer())
	d.listen.control = tls.NewListener(d.listen.control, d.secure.PeerServer())
	d.listen.admin = tls.NewListener(d.listen.admin, d.secure.AdminServer())
}
