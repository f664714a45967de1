package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Server accepts connections of other daemons.
type Server struct {
	self    Identity
	traffic *TrafficCounter
	log     *logrus.Entry
	mux     *drpcmux.Mux
	gate    *gate
}

// NewServer returns a server without services; slices register on Mux.
func NewServer(self Identity, traffic *TrafficCounter, log *logrus.Entry) *Server {
	return &Server{
		self:    self,
		traffic: traffic,
		log:     log,
		mux:     drpcmux.New(),
		gate:    newGate(maxConnections, acceptsPerSecond, acceptBurst),
	}
}

// Mux is where slices register their services before Serve.
func (s *Server) Mux() *drpcmux.Mux { return s.mux }

// Serve accepts connections until ctx ends, one task for each. Connections
// over the limits are closed at once. It closes the listener and returns when
// every task has ended.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for {
		raw, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept on %s: %w", listener.Addr(), err)
		}
		if !s.gate.admit(raw) {
			continue
		}
		tasks.Go(func() {
			defer s.gate.leave()
			s.serveConn(ctx, raw)
		})
	}
}

// serveConn is the task of one accepted connection.
func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
	defer raw.Close()
	remote, kind, err := s.greet(raw)
	if err != nil {
		s.log.WithError(err).Debugf("hello from %s failed", raw.RemoteAddr())
		return
	}
	class := TrafficClass{Kind: kind, Scope: ScopeOf(s.self, remote)}
	ctx = withCloser(WithIdentity(ctx, remote), raw)
	err = drpcserver.New(s.mux).ServeOne(ctx, s.traffic.WrapConn(timedConn{raw}, class))
	if err != nil && ctx.Err() == nil {
		s.log.WithError(err).Debugf("connection from %s ended", remote.Host)
	}
}

// greet exchanges hellos with a daemon that dialled.
func (s *Server) greet(raw net.Conn) (Identity, string, error) {
	if err := raw.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return Identity{}, "", err
	}
	remote, kind, err := readHello(raw)
	if err != nil {
		return Identity{}, "", err
	}
	if err := verifyName(raw, remote); err != nil {
		return Identity{}, "", err
	}
	if err := writeHello(raw, s.self, kind); err != nil {
		return Identity{}, "", err
	}
	return remote, kind, raw.SetDeadline(time.Time{})
}
