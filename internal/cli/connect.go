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

// connection holds the options of commands that ask a daemon.
type connection struct {
	Admin string `arg:"--admin,env:MULBERRYBANK_ADMIN" default:"127.0.0.1:7404" placeholder:"ADDRESS" help:"administration address of any daemon, IP:port or URL"`
	access
}

// client returns a client of the daemon that the options name.
func (c *connection) client(env *env) (*admin.Client, error) {
	return c.open(env, c.Admin)
}

// access holds the options that say how daemons are asked.
type access struct {
	TokenFile string        `arg:"--token-file,env:MULBERRYBANK_TOKEN_FILE" placeholder:"FILE" help:"file that holds the access token"`
	Authority string        `arg:"--authority,env:MULBERRYBANK_AUTHORITY" placeholder:"FILE" help:"certificates that sign those of daemons; connections then use TLS"`
	Timeout   time.Duration `arg:"--timeout" default:"10s" help:"time limit of one request"`
}

// open returns a client of the daemon at an address.
func (a *access) open(env *env, address string) (*admin.Client, error) {
	token, err := readToken(a.TokenFile)
	if err != nil {
		return nil, err
	}
	if a.Authority == "" {
		return admin.NewClient(address, token, env.http), nil
	}
	secured, err := securedClient(a.Authority)
	if err != nil {
		return nil, err
	}
	return admin.NewClient(securedAddress(address), token, secured), nil
}

// limit bounds one request.
func (a *access) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, a.Timeout)
}

// securedClient returns an HTTP client that trusts an authority only.
func securedClient(authority string) (*http.Client, error) {
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

// securedAddress puts the scheme of TLS before an address without one.
func securedAddress(address string) string {
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
