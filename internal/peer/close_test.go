package peer

import (
	"context"
	"crypto/tls"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/secure"
	"github.com/mulberrybank/mulberrybank/internal/secure/securetest"
)

var (
	clientIdentity = Identity{Host: "client", Zone: "b"}
	serverIdentity = Identity{Host: "server", Zone: "a"}
)

// tlsPipe returns both ends of a TLS connection without buffers, so that a write waits
// until the other end reads.
func tlsPipe(t *testing.T) (client, server *tls.Conn) {
	t.Helper()
	authority := securetest.NewAuthority(t)
	identityOf := func(id Identity, serial int64) *secure.Identity {
		files := authority.Issue(t, t.TempDir(), serial, CertificateName(id))
		identity, err := secure.Load(files, logging.ForComponent(logging.Discard(), "secure"))
		assert.NilError(t, err)
		return identity
	}
	near, far := net.Pipe()
	client = tls.Client(near, identityOf(clientIdentity, 1).PeerClientConfig())
	config := identityOf(serverIdentity, 2).PeerServerConfig()
	// The server would write tickets, for which the client does not wait.
	config.SessionTicketsDisabled = true
	server = tls.Server(far, config)
	var serverErr error
	done := background(func() { serverErr = server.HandshakeContext(t.Context()) })
	assert.NilError(t, client.HandshakeContext(t.Context()))
	<-done
	assert.NilError(t, serverErr)
	return client, server
}

func TestPeerThatDoesNotReadDelaysCloseOfDialledConnectionByCloseTimeoutOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := tlsPipe(t)
		defer server.NetConn().Close()
		dial := func(context.Context, string, string) (net.Conn, error) { return client, nil }
		answered := background(func() {
			_, kind, err := readHello(server)
			assert.Check(t, err)
			assert.Check(t, writeHello(server, serverIdentity, kind))
		})
		conn, err := NewDialer(clientIdentity, NewTrafficCounter(), dial).Dial(t.Context(), "test", "server")
		assert.NilError(t, err)
		<-answered
		returned := background(func() { _ = conn.Close() })
		time.Sleep(closeTimeout)
		synctest.Wait()
		assert.Assert(t, isClosed(returned), "Close waits for a peer that does not read")
	})
}

func TestPeerThatDoesNotReadDelaysEndOfServeByCloseTimeoutOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, returned, cancel := serveTLS(t)
		assert.NilError(t, writeHello(client, clientIdentity, "test"))
		_, _, err := readHello(client)
		assert.NilError(t, err)
		synctest.Wait()
		cancel()
		time.Sleep(closeTimeout)
		synctest.Wait()
		assert.Assert(t, isClosed(returned), "Serve waits for a peer that does not read")
	})
}

func TestTLSPeerThatSendsNoHelloDoesNotDelayEndOfServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, returned, cancel := serveTLS(t)
		synctest.Wait()
		cancel()
		synctest.Wait()
		assert.Assert(t, isClosed(returned), "Serve waits for a peer that sends no hello and does not read")
	})
}

// serveTLS runs a server with one accepted TLS connection and returns the other end. The
// channel is closed when Serve has returned.
func serveTLS(t *testing.T) (client *tls.Conn, returned <-chan struct{}, cancel context.CancelFunc) {
	t.Helper()
	client, accepted := tlsPipe(t)
	server := NewServer(serverIdentity, NewTrafficCounter(), logging.ForComponent(logging.Discard(), "peer"))
	listener := &channelListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	returned = background(func() { _ = server.Serve(ctx, listener) })
	listener.conns <- accepted
	t.Cleanup(func() { cancel(); _ = client.NetConn().Close() })
	return client, returned, cancel
}

func TestCloseConnDoesNotWaitForPeerThatDoesNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := tlsPipe(t)
		defer client.NetConn().Close()
		ctx := withConn(t.Context(), server)
		returned := background(func() { CloseConn(ctx) })
		synctest.Wait()
		assert.Assert(t, isClosed(returned), "CloseConn waits for a peer that does not read")
	})
}
