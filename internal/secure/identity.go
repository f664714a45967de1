package secure

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// ErrNoCertificate says that the other end showed no certificate.
var ErrNoCertificate = errors.New("the peer showed no certificate")

// Identity is the TLS identity of one daemon. New connections use the files
// as last read; connections that are open keep what they began with.
type Identity struct {
	files   Files
	log     *logrus.Entry
	current atomic.Pointer[material]
}

// Load reads the files for the first time.
func Load(files Files, log *logrus.Entry) (*Identity, error) {
	first, err := files.read()
	if err != nil {
		return nil, err
	}
	identity := &Identity{files: files, log: log}
	identity.current.Store(first)
	return identity, nil
}

// Reload reads the files again. On an error the earlier content stays in use.
func (i *Identity) Reload() error {
	next, err := i.files.read()
	if err != nil {
		return err
	}
	i.current.Store(next)
	return nil
}

// PeerServerConfig is the configuration for connections of other daemons, which
// have to show a certificate of the authority.
func (i *Identity) PeerServerConfig() *tls.Config {
	config := i.server()
	config.ClientAuth = tls.RequireAnyClientCert
	config.VerifyConnection = i.verify(x509.ExtKeyUsageClientAuth)
	return config
}

// PeerClientConfig is the configuration for connections to other daemons. They are
// reached by IP number, so the certificate's name is compared with what the
// daemon says of itself, by the caller; here the authority is.
func (i *Identity) PeerClientConfig() *tls.Config {
	config := i.client()
	config.InsecureSkipVerify = true
	config.VerifyConnection = i.verify(x509.ExtKeyUsageServerAuth)
	return config
}

// AdminServerConfig is the configuration for operators' connections, which need no
// certificate.
func (i *Identity) AdminServerConfig() *tls.Config { return i.server() }

// PlatformClientConfig is the configuration for connections to the platform. The
// platform's certificate has to be of the authority and bear its address.
func (i *Identity) PlatformClientConfig() *tls.Config {
	config := i.client()
	config.RootCAs = i.current.Load().authority
	return config
}

func (i *Identity) server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &i.current.Load().certificate, nil
		},
	}
}

func (i *Identity) client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &i.current.Load().certificate, nil
		},
	}
}

// verify checks the other end's certificate against the authority as last read.
func (i *Identity) verify(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return ErrNoCertificate
		}
		options := x509.VerifyOptions{
			Roots:         i.current.Load().authority,
			Intermediates: x509.NewCertPool(),
			KeyUsages:     []x509.ExtKeyUsage{usage},
		}
		for _, intermediate := range state.PeerCertificates[1:] {
			options.Intermediates.AddCert(intermediate)
		}
		if _, err := state.PeerCertificates[0].Verify(options); err != nil {
			return fmt.Errorf("verify the peer's certificate: %w", err)
		}
		return nil
	}
}
