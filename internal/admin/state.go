package admin

import (
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"github.com/mulberrybank/mulberrybank/internal/membership"
)

// status responds with the configuration status of this daemon.
func (s *Server) status(w http.ResponseWriter, _ *request) error {
	return writeJSON(w, http.StatusOK, s.currentStatus())
}

func (s *Server) currentStatus() Status {
	status := Status{Host: s.Host, Zone: s.Zone, Floor: s.Enforcer.Floor(), StalenessMillis: unknownStaleness}
	if table := s.Enforcer.Table(); table != nil {
		status.Offset = table.Offset
		status.Digest = hex.EncodeToString(table.Digest)
		status.Version = uint64(table.Config.Version)
		status.Routes = len(table.Config.Routes)
		status.Services = len(table.Config.Services)
	}
	if s.Staleness != nil {
		if age, known := s.Staleness(); known {
			status.StalenessMillis = age.Milliseconds()
		}
	}
	if err := s.Enforcer.StopCause(); err != nil {
		status.Stopped = err.Error()
	}
	if s.Convergence != nil {
		status.Convergence = s.Convergence()
	}
	return status
}

// unknownStaleness is the staleness of a daemon that never had all records.
const unknownStaleness = -1

// members responds with the daemons known here, sorted by host.
func (s *Server) members(w http.ResponseWriter, _ *request) error {
	response := Members{Members: []Member{}}
	for _, member := range s.Directory.View().Members.All() {
		response.Members = append(response.Members, fromMember(member))
	}
	slices.SortFunc(response.Members, func(a, b Member) int { return strings.Compare(a.Host, b.Host) })
	return writeJSON(w, http.StatusOK, response)
}

// rollouts responds with the rollouts known here, sorted by service.
func (s *Server) rollouts(w http.ResponseWriter, _ *request) error {
	response := Rollouts{Rollouts: []Rollout{}}
	if s.Rollouts != nil {
		response.Rollouts = append(response.Rollouts, s.Rollouts()...)
	}
	return writeJSON(w, http.StatusOK, response)
}

// drain takes the target of this host out of service.
func (s *Server) drain(w http.ResponseWriter, r *request) error {
	if s.Drainer == nil {
		return notFound("this daemon has no target to drain")
	}
	s.log.WithField("author", r.principal.Name).Info("draining the target")
	if err := s.Drainer.Drain(r.Context()); err != nil {
		return unavailable("drain", err)
	}
	return writeJSON(w, http.StatusOK, DrainState{Host: s.Host, Draining: true})
}

// resume puts the target of this host back into service.
func (s *Server) resume(w http.ResponseWriter, r *request) error {
	if s.Drainer == nil {
		return notFound("this daemon has no target to resume")
	}
	s.log.WithField("author", r.principal.Name).Info("resuming the target")
	if err := s.Drainer.Resume(r.Context()); err != nil {
		return unavailable("resume", err)
	}
	return writeJSON(w, http.StatusOK, DrainState{Host: s.Host})
}

// timeline serves the events of this process.
func (s *Server) timeline(w http.ResponseWriter, r *request) error {
	if s.Timeline == nil {
		return notFound("this daemon keeps no events")
	}
	s.Timeline.ServeHTTP(w, r.Request)
	return nil
}

// metrics serves the metrics of this process in the Prometheus text format.
func (s *Server) metrics(w http.ResponseWriter, _ *request) error {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	s.Metrics.WritePrometheus(w)
	return nil
}

// healthz responds as long as the process serves requests.
func (s *Server) healthz(w http.ResponseWriter, _ *request) error {
	return writeJSON(w, http.StatusOK, Readiness{Ready: true})
}

// readyz responds whether the daemon serves calls with the current configuration,
// and if not, why.
func (s *Server) readyz(w http.ResponseWriter, _ *request) error {
	reasons := s.notReadyReasons()
	if len(reasons) > 0 {
		return writeJSON(w, http.StatusServiceUnavailable, Readiness{Reasons: reasons})
	}
	return writeJSON(w, http.StatusOK, Readiness{Ready: true})
}

// notReadyReasons returns why the daemon is not ready, nil when it is.
func (s *Server) notReadyReasons() []string {
	var reasons []string
	if s.Enforcer.Table() == nil {
		reasons = append(reasons, "no configuration is in force yet")
	}
	if err := s.Enforcer.StopCause(); err != nil {
		reasons = append(reasons, "folding stopped: "+err.Error())
	}
	if state := s.Directory.View().Self.State; state == membership.Leaving || state == membership.Left {
		reasons = append(reasons, "the daemon is stopping")
	}
	for _, check := range s.ReadinessChecks {
		if err := check(); err != nil {
			reasons = append(reasons, err.Error())
		}
	}
	return reasons
}
