package peer

import (
	"crypto/tls"
	"fmt"
	"net"
	"slices"
)

// CertificateName returns the DNS name in the certificate of a daemon, HOST.ZONE.
func CertificateName(identity Identity) string {
	return identity.Host + "." + identity.Zone
}

// CertificateNameError reports that a daemon's certificate is not valid for the
// host and zone that it sent.
type CertificateNameError struct {
	Want string
	Have []string
}

func (e *CertificateNameError) Error() string {
	return fmt.Sprintf("certificate is valid for %q, not for %s", e.Have, e.Want)
}

// verifyCertificateName verifies that a daemon's certificate is valid for the
// identity that it sent. It accepts every identity on a connection without TLS,
// which has no certificate.
func verifyCertificateName(conn net.Conn, remote Identity) error {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	names := tlsConn.ConnectionState().PeerCertificates[0].DNSNames
	want := CertificateName(remote)
	if !slices.Contains(names, want) {
		return &CertificateNameError{Want: want, Have: names}
	}
	return nil
}
