// Package admin serves the administration API of one daemon over HTTP.
//
// Its clients are operators, their scripts and the command line. The API makes no
// decisions about configuration; it calls the packages that do.
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

// Submitter appends a publication to the log and returns its verdict.
type Submitter interface {
	Submit(ctx context.Context, publication *publish.Publication) (publish.Verdict, error)
}

// Enforcer provides the configuration state of this daemon.
type Enforcer interface {
	// Table returns the active table, nil when there is none.
	Table() *enforce.Table
	// Position returns the highest applied offset and the digest at it.
	Position() (offset uint64, digest []byte)
	// Floor returns the lowest offset at which a table may be active.
	Floor() uint64
	// StopCause returns the error that stopped the daemon from applying records, nil
	// while it applies them.
	StopCause() error
	// Verdicts returns the retained verdicts, oldest first.
	Verdicts() []publish.Verdict
	// Source returns the current source of a workspace and its version.
	Source(workspace string) (*publish.Source, publish.Version, bool)
	// Snapshot encodes the state and returns its offset.
	Snapshot() (snapshot []byte, offset uint64, err error)
}

// Archive provides old versions of workspaces.
type Archive interface {
	// SourceAt returns the source of a workspace at one of its versions.
	SourceAt(ctx context.Context, workspace string, version publish.Version) (*publish.Source, error)
}

// Directory provides the members of the mesh.
type Directory interface {
	View() *membership.View
}

// Drainer takes the target of this host out of service and puts it back. Both are in
// force at once. An error means that a restart of the daemon might forget them.
type Drainer interface {
	Drain(ctx context.Context) error
	Resume(ctx context.Context) error
}

// ReadinessCheck returns why a component of the daemon is not ready, nil when it is.
type ReadinessCheck func() error

// Options configure a Server. Host, Zone, Submitter, Enforcer, Archive and Directory
// are required.
type Options struct {
	Host      string
	Zone      string
	Submitter Submitter
	Enforcer  Enforcer
	Archive   Archive
	Directory Directory
	// Convergence returns the convergence of all daemons as known to this one.
	Convergence func() Convergence
	// Staleness returns how long ago the daemon last had all records, false
	// when it never had.
	Staleness func() (time.Duration, bool)
	Drainer   Drainer
	// Rollouts returns the rollouts that this daemon knows, nil if they are off.
	Rollouts func() []Rollout
	// ReadinessChecks are additional conditions of /readyz.
	ReadinessChecks []ReadinessCheck
	// Timeline serves the events of this process.
	Timeline http.Handler
	// Authorizer decides which requests are allowed. If it is nil, all are.
	Authorizer Authorizer
	// Quota limits the publications of each workspace.
	Quota Quota
	// MaxBody limits the body of one request in bytes, 0 for DefaultMaxBody.
	MaxBody int64
	Logger  *logrus.Logger
	Metrics *metrics.Set
	// Now is the clock, nil for time.Now.
	Now func() time.Time
}

// DefaultMaxBody is the default limit on the body of one request in bytes.
const DefaultMaxBody = 1 << 20

// Server serves the administration API of one daemon.
type Server struct {
	Options
	log    *logrus.Entry
	router *httprouter.Router
	// replaySemaphore limits how many requests rebuild old state at once.
	replaySemaphore chan struct{}
	quotas          *quotas
}

// maxConcurrentReplays limits how many requests rebuild old state at once.
const maxConcurrentReplays = 2

// New returns a Server with defaults for the options left out.
func New(options Options) *Server {
	s := &Server{Options: options, replaySemaphore: make(chan struct{}, maxConcurrentReplays)}
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

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler { return s.router }
