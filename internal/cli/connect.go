package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/admin"
)

// connectionOptions holds the options of commands that send requests to one daemon.
type connectionOptions struct {
	Admin string `arg:"--admin,env:MULBERRYBANK_ADMIN" default:"127.0.0.1:7404" placeholder:"ADDRESS" help:"administration address of any daemon, IP:port or URL"`
	accessOptions
}

// client returns a client of the daemon at the address in the options.
func (c *connectionOptions) client(env *env) (*admin.Client, error) {
	return c.newClient(env, c.Admin)
}

// accessOptions holds the options for requests to daemons.
type accessOptions struct {
	TokenFile string        `arg:"--token-file,env:MULBERRYBANK_TOKEN_FILE" placeholder:"FILE" help:"file that holds the access token"`
	Authority string        `arg:"--authority,env:MULBERRYBANK_AUTHORITY" placeholder:"FILE" help:"certificates that sign those of daemons; connections then use TLS"`
	Timeout   time.Duration `arg:"--timeout" default:"10s" help:"time limit of one request"`
}

// newClient returns a client of the daemon at an address.
func (a *accessOptions) newClient(env *env, address string) (*admin.Client, error) {
	token, err := readToken(a.TokenFile)
	if err != nil {
		return nil, err
	}
	if a.Authority == "" {
		return admin.NewClient(address, token, env.http), nil
	}
	tlsClient, err := newTLSClient(a.Authority)
	if err != nil {
		return nil, err
	}
	return admin.NewClient(httpsAddress(address), token, tlsClient), nil
}

// withTimeout returns a context with the time limit of one request.
func (a *accessOptions) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, a.Timeout)
}

// newTLSClient returns an HTTP client that trusts only the certificates of an
// authority.
func newTLSClient(authority string) (*http.Client, error) {
	text, err := os.ReadFile(authority)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("read authority %s: no certificate found", authority)
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}
	return &http.Client{Transport: transport}, nil
}

// httpsAddress adds the scheme https to an address without a scheme.
func httpsAddress(address string) string {
	if strings.Contains(address, "://") {
		return address
	}
	return "https://" + address
}

func readToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("read token: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}
