package peer

import (
	"crypto/tls"
	"fmt"
	"net"
	"slices"
)

// CertificateName is the DNS name that the certificate of a daemon bears.
func CertificateName(identity Identity) string {
	return identity.Host + "." + identity.Zone
}

// CertificateNameError says that a daemon's certificate does not bear its host and zone.
type CertificateNameError struct {
	Want string
	Have []string
}

func (e *CertificateNameError) Error() string {
	return fmt.Sprintf("the certificate bears %q, not %s", e.Have, e.Want)
}

// verifyName compares what a daemon says of itself with its certificate. A
// connection in plain text has no certificate to compare with.
func verifyName(conn net.Conn, remote Identity) error {
	secured, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	names := secured.ConnectionState().PeerCertificates[0].DNSNames
	want := CertificateName(remote)
	if !slices.Contains(names, want) {
		return &CertificateNameError{Want: want, Have: names}
	}
	return nil
}
