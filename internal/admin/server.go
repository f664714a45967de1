// Package admin serves the administration API of one daemon over HTTP.
//
// Operators, their scripts and the command line are its clients. The API
// decides nothing about configuration; it asks the slices that do.
package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/julienschmidt/httprouter"
	"github.com/sirupsen/logrus"

	"github.com/mulberrybank/mulberrybank/internal/enforce"
	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// Submitter puts a publication into the log and returns its verdict.
type Submitter interface {
	Submit(ctx context.Context, publication *publish.Publication) (publish.Verdict, error)
}

// Enforcer tells what is in force on this daemon.
type Enforcer interface {
	Table() *enforce.Table
	Position() (offset uint64, digest []byte)
	Floor() uint64
	StopCause() error
	Verdicts() []publish.Verdict
	// Source returns the current source of a workspace and its version.
	Source(workspace string) (*publish.Source, publish.Version, bool)
	// Snapshot encodes the state and returns the offset it stands for.
	Snapshot() (snapshot []byte, offset uint64, err error)
}

// Archive gives access to old versions.
type Archive interface {
	// SourceAt returns the source of a workspace at one of its versions.
	SourceAt(ctx context.Context, workspace string, version publish.Version) (*publish.Source, error)
}

// Directory tells which daemons there are.
type Directory interface {
	View() *membership.View
}

// Drainer takes this host's target out of service and back.
type Drainer interface {
	Drain()
	Resume()
}

// ReadinessCheck returns why a part of the daemon is not ready, nil when it is.
type ReadinessCheck func() error

// Options of a Server. Host, Zone, Submitter, Enforcer, Archive and Directory
// are required.
type Options struct {
	Host      string
	Zone      string
	Submitter Submitter
	Enforcer  Enforcer
	Archive   Archive
	Directory Directory
	// Convergence returns what is known of all daemons.
	Convergence func() Convergence
	// Staleness returns how long ago the daemon last had all records, false
	// when it never had.
	Staleness func() (time.Duration, bool)
	Drainer   Drainer
	// ReadinessChecks are further conditions of /readyz.
	ReadinessChecks []ReadinessCheck
	// Timeline serves the events of this process.
	Timeline http.Handler
	// Authorizer decides who may do what, nil allows everything.
	Authorizer Authorizer
	// Quota limits publications by workspace.
	Quota Quota
	// MaxBody bounds the body of one request in bytes, 0 for DefaultMaxBody.
	MaxBody int64
	Logger  *logrus.Logger
	Metrics *metrics.Set
	// Now is the clock, nil for time.Now.
	Now func() time.Time
}

// DefaultMaxBody is the bound on the body of one request in bytes.
const DefaultMaxBody = 1 << 20

// Server is the administration API of one daemon.
type Server struct {
	Options
	log    *logrus.Entry
	router *httprouter.Router
	// replays limits how many requests rebuild old state at once.
	replays chan struct{}
	quotas  *quotas
}

// maxReplays is how many requests may rebuild old state at once.
const maxReplays = 2

// New returns a server.
func New(options Options) *Server {
	s := &Server{Options: options, replays: make(chan struct{}, maxReplays)}
	if s.MaxBody == 0 {
		s.MaxBody = DefaultMaxBody
	}
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.Metrics == nil {
		s.Metrics = metrics.NewSet()
	}
	if s.Logger == nil {
		s.Logger = logging.Discard()
	}
	if s.Authorizer == nil {
		s.Authorizer = allowAll{}
	}
	s.quotas = newQuotas(s.Quota, s.Now)
	s.log = logging.ForComponent(s.Logger, "admin")
	s.router = s.newRouter()
	s.registerGauges(s.Metrics)
	return s
}

// Handler serves the API.
func (s *Server) Handler() http.Handler { return s.router }
