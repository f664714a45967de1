package peer

import (
	"context"
	"errors"
	"fmt"
	"net"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Server accepts connections from other daemons.
type Server struct {
	self    Identity
	traffic *TrafficCounter
	log     *logrus.Entry
	mux     *drpcmux.Mux
	limiter *connLimiter
	// acceptLog limits the rate of log lines about temporary errors of Accept.
	acceptLog rate.Sometimes
}

// NewServer returns a server without services, which are registered on Mux.
func NewServer(self Identity, traffic *TrafficCounter, log *logrus.Entry) *Server {
	return &Server{
		self:      self,
		traffic:   traffic,
		log:       log,
		mux:       drpcmux.New(),
		limiter:   newConnLimiter(maxConnections, acceptsPerSecond, acceptBurst),
		acceptLog: rate.Sometimes{Interval: acceptLogInterval},
	}
}

// Mux returns the multiplexer on which services are registered before Serve.
func (s *Server) Mux() *drpcmux.Mux { return s.mux }

// Serve accepts connections until ctx is cancelled or Accept fails, and serves each in
// a task of its own. Connections over the limits are closed at once. Temporary errors
// of Accept are retried. At its end Serve closes the listener and all connections.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	for {
		raw, err := s.accept(ctx, listener)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept on %s: %w", listener.Addr(), err)
		}
		if !s.limiter.admit(raw) {
			continue
		}
		tasks.Go(func() {
			defer s.limiter.release()
			s.serveConn(ctx, raw)
		})
	}
}

// serveConn serves one accepted connection until it ends.
func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
	defer closeGracefully(raw)
	remote, kind, err := handshake(ctx, raw, s.exchangeHello)
	if err != nil {
		s.log.WithError(err).Debugf("peer handshake with %s failed", raw.RemoteAddr())
		return
	}
	class := TrafficClass{Kind: kind, Scope: ScopeOf(s.self, remote)}
	notifying := &notifyingConn{Conn: writeDeadlineConn{raw}}
	ctx = withConn(WithIdentity(ctx, remote), notifying)
	err = drpcserver.New(s.mux).ServeOne(ctx, meterPackets(s.traffic.WrapConn(notifying, class), raw))
	if err != nil && ctx.Err() == nil {
		s.log.WithError(err).Debugf("connection from host %s closed", remote.Host)
	}
}

// exchangeHello reads the Hello message of a daemon that connected and responds.
func (s *Server) exchangeHello(conn net.Conn) (Identity, string, error) {
	remote, kind, err := readHello(conn)
	if err != nil {
		return Identity{}, "", err
	}
	if err := verifyCertificateName(conn, remote); err != nil {
		return Identity{}, "", err
	}
	return remote, kind, writeHello(conn, s.self, kind)
}
