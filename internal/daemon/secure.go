package daemon

import (
	"crypto/tls"

	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/secure"
)

// loadTLSIdentity reads the TLS identity if the settings enable TLS.
func (d *Daemon) loadTLSIdentity() error {
	files := d.settings.TLS
	if !files.Enabled() {
		d.log.Warn("TLS is off in the settings: connections to daemons, operators and the platform are not encrypted")
		return nil
	}
	identity, err := secure.Load(secure.Files{
		Certificate: files.Certificate,
		Key:         files.Key,
		Authority:   files.Authority,
	}, logging.ForComponent(d.logger, "secure"))
	if err != nil {
		return err
	}
	d.tlsIdentity = identity
	return nil
}

// wrapListenersInTLS enables TLS on the listeners for daemons and operators.
// Connections of callers and of the target on this host are not encrypted.
func (d *Daemon) wrapListenersInTLS() {
	if d.tlsIdentity == nil {
		return
	}
	d.listeners.calls = tls.NewListener(d.listeners.calls, d.tlsIdentity.PeerServerConfig())
	d.listeners.control = tls.NewListener(d.listeners.control, d.tlsIdentity.PeerServerConfig())
	d.listeners.admin = tls.NewListener(d.listeners.admin, d.tlsIdentity.AdminServerConfig())
}
