package secure_test

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/secure"
	"github.com/mulberrybank/mulberrybank/internal/secure/securetest"
)

func load(t *testing.T, files secure.Files) *secure.Identity {
	t.Helper()
	identity, err := secure.Load(files, logging.ForComponent(logging.Discard(), "secure"))
	assert.NilError(t, err)
	return identity
}

// serve accepts TLS connections of daemons until the test ends and returns its
// address.
func serve(t *testing.T, self peer.Identity, identity *secure.Identity) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := peer.NewServer(self, peer.NewTrafficCounter(), logging.ForComponent(logging.Discard(), "peer"))
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	tasks.Go(func() { _ = server.Serve(ctx, tls.NewListener(listener, identity.PeerServerConfig())) })
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
	return listener.Addr().String()
}

func dial(t *testing.T, self peer.Identity, identity *secure.Identity, address string) error {
	t.Helper()
	conn, err := peer.NewDialer(self, peer.NewTrafficCounter(), identity.PeerDialFunc()).Dial(t.Context(), "test", address)
	if err == nil {
		_ = conn.Close()
	}
	return err
}

var (
	accra   = peer.Identity{Host: "accra-1", Zone: "greater-accra-a", Region: "greater-accra"}
	ashanti = peer.Identity{Host: "ashanti-1", Zone: "ashanti-a", Region: "ashanti"}
)

func TestDaemonsAcceptEachOtherByCertificate(t *testing.T) {
	authority := securetest.NewAuthority(t)
	server := load(t, authority.Issue(t, t.TempDir(), 2, peer.CertificateName(accra)))
	client := load(t, authority.Issue(t, t.TempDir(), 3, peer.CertificateName(ashanti)))
	assert.NilError(t, dial(t, ashanti, client, serve(t, accra, server)))
}

func TestPeerWithoutValidCertificateIsRefused(t *testing.T) {
	trusted, foreign := securetest.NewAuthority(t), securetest.NewAuthority(t)
	server := load(t, trusted.Issue(t, t.TempDir(), 2, peer.CertificateName(accra)))
	address := serve(t, accra, server)

	t.Run("of another host", func(t *testing.T) {
		client := load(t, trusted.Issue(t, t.TempDir(), 3, "ashanti-2.ashanti-a"))
		assert.Assert(t, dial(t, ashanti, client, address) != nil)
	})
	t.Run("of another zone", func(t *testing.T) {
		client := load(t, trusted.Issue(t, t.TempDir(), 4, "ashanti-1.northern-a"))
		assert.Assert(t, dial(t, ashanti, client, address) != nil)
	})
	t.Run("of another authority", func(t *testing.T) {
		files := foreign.Issue(t, t.TempDir(), 5, peer.CertificateName(ashanti))
		trusted.WriteAuthority(t, files.Authority)
		assert.Assert(t, dial(t, ashanti, load(t, files), address) != nil)
	})
	t.Run("in plain text", func(t *testing.T) {
		_, err := peer.NewDialer(ashanti, peer.NewTrafficCounter(), nil).Dial(t.Context(), "test", address)
		assert.Assert(t, err != nil)
	})
	t.Run("a server of another host", func(t *testing.T) {
		client := load(t, trusted.Issue(t, t.TempDir(), 6, peer.CertificateName(ashanti)))
		mismatched := accra
		mismatched.Host = "accra-9"
		err := dial(t, ashanti, client, serve(t, mismatched, server))
		assert.ErrorContains(t, err, "accra-9.greater-accra-a")
	})
}

func TestChangedFilesAreReloaded(t *testing.T) {
	authority := securetest.NewAuthority(t)
	dir := t.TempDir()
	identity := load(t, authority.Issue(t, dir, 2, peer.CertificateName(accra)))
	ctx, cancel := context.WithCancel(t.Context())
	var tasks conc.WaitGroup
	tasks.Go(func() { assert.Check(t, identity.Run(ctx)) })
	defer tasks.Wait()
	defer cancel()

	authority.Issue(t, dir, 7, peer.CertificateName(accra))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		certificate, err := identity.AdminServerConfig().GetCertificate(nil)
		if err == nil && certificate.Leaf.SerialNumber.Int64() == 7 {
			return poll.Success()
		}
		return poll.Continue("the previous certificate is still in use")
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(20*time.Second))
}

func TestInvalidKeyFileKeepsPreviousCertificate(t *testing.T) {
	authority := securetest.NewAuthority(t)
	files := authority.Issue(t, t.TempDir(), 2, peer.CertificateName(accra))
	identity := load(t, files)
	const content = "not a key"
	assert.NilError(t, os.WriteFile(files.Key, []byte(content), 0o600))
	err := identity.Reload()
	assert.ErrorContains(t, err, files.Key)
	certificate, err := identity.AdminServerConfig().GetCertificate(nil)
	assert.NilError(t, err)
	assert.Equal(t, certificate.Leaf.SerialNumber.Int64(), int64(2))
}

// servePlatform serves HTTPS on a loopback address until the test ends and returns the
// address. Its certificate is issued by the authority for the IP addresses.
func servePlatform(t *testing.T, authority *securetest.Authority, addresses ...net.IP) string {
	t.Helper()
	files := authority.Issue(t, t.TempDir(), 9, "platform", addresses...)
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	assert.NilError(t, err)
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.TLS = &tls.Config{Certificates: []tls.Certificate{certificate}}
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.StartTLS()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// requestPlatform sends one request over a new connection of a transport.
func requestPlatform(transport *http.Transport, address string) error {
	response, err := (&http.Client{Transport: transport}).Get("https://" + address)
	if err != nil {
		return err
	}
	transport.CloseIdleConnections()
	return response.Body.Close()
}

func TestPlatformOfReloadedAuthorityIsTrusted(t *testing.T) {
	previous, next := securetest.NewAuthority(t), securetest.NewAuthority(t)
	files := previous.Issue(t, t.TempDir(), 2, peer.CertificateName(accra))
	identity := load(t, files)
	transport := &http.Transport{TLSClientConfig: identity.PlatformClientConfig("127.0.0.1")}
	before := servePlatform(t, previous, net.IPv4(127, 0, 0, 1))
	after := servePlatform(t, next, net.IPv4(127, 0, 0, 1))
	assert.NilError(t, requestPlatform(transport, before))
	assert.ErrorContains(t, requestPlatform(transport, after), "unknown authority")
	next.WriteAuthority(t, files.Authority)
	assert.NilError(t, identity.Reload())
	assert.NilError(t, requestPlatform(transport, after))
	assert.ErrorContains(t, requestPlatform(transport, before), "unknown authority")
}

func TestPlatformWithCertificateOfAnotherAddressIsRefused(t *testing.T) {
	authority := securetest.NewAuthority(t)
	identity := load(t, authority.Issue(t, t.TempDir(), 2, peer.CertificateName(accra)))
	address := servePlatform(t, authority, net.IPv4(10, 0, 0, 1))
	for _, host := range []string{"127.0.0.1", "other", ""} {
		transport := &http.Transport{TLSClientConfig: identity.PlatformClientConfig(host)}
		assert.ErrorContains(t, requestPlatform(transport, address), "certificate", "host %q", host)
	}
	transport := &http.Transport{TLSClientConfig: identity.PlatformClientConfig("platform")}
	assert.NilError(t, requestPlatform(transport, address))
}
