package call

import (
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/route"
)

// VersionPicker chooses which versions of a service's targets may get a call.
type VersionPicker interface {
	// Pick is called once for each call.
	Pick(config *publish.Configuration, service, route string) VersionedCall
}

// VersionedCall is a call whose targets are restricted by their version.
type VersionedCall interface {
	// Targets returns the versions for the first attempt, or for a further one. They are
	// listed, so that one that appears before the target is chosen is not among them.
	Targets(first bool) *route.VersionFilter
	// Canary reports whether the first attempt goes to a version that is under trial,
	// and why.
	Canary() (version, reason string, canary bool)
	// Counted reports whether the answers to the call are counted.
	Counted() bool
	// Began counts an attempt at a target of a version.
	Began(version string)
	// Answered counts the answer of a target to an attempt, whose time excludes the
	// wait for a slot. Attempts without an answer of the target are not counted.
	Answered(answer VersionAnswer)
	// Ended counts the end of an attempt, after its response was passed on.
	Ended(version string)
}

// VersionAnswer is what a target's answer shows of its version.
type VersionAnswer struct {
	Version string
	// Failed says that the target failed the request.
	Failed bool
	Took   time.Duration
	// Cold says that the target had just started.
	Cold bool
}

const (
	// headerTimed is "1" if the response shall bear headerTargetTime.
	headerTimed = "Mulberry-Timed"
	// headerTargetTime is the time from the request to the target to its response.
	headerTargetTime = "Mulberry-Target-Time"
)

// pickVersion returns the restriction of a call by version, nil for none. The target of
// a call with a key is fixed.
func (s *Server) pickVersion(in InboundCall, service string) VersionedCall {
	if s.versions == nil || in.Key != "" {
		return nil
	}
	versioned := s.versions.Pick(in.Config, service, in.Route.Name)
	if versioned == nil {
		return nil
	}
	if version, reason, canary := versioned.Canary(); canary {
		s.requestLogs.decision.WithFields(logrus.Fields{"call": in.ID, "service": service, "target_version": version, "reason": reason}).Info("call sent to the canary version")
	}
	return versioned
}

// versionFilter returns the versions for the first attempt of a call, or for a further
// one.
func (c *outboundCall) versionFilter(first bool) *route.VersionFilter {
	if c.versioned == nil {
		return nil
	}
	return c.versioned.Targets(first)
}

// chooseVersion chooses a target for the next attempt of a call. A call whose first
// version has no target to take it goes on as a further attempt does.
func (s *Server) chooseVersion(c *outboundCall, wanted route.Request) (route.Choice, error) {
	choice, err := s.router.Choose(wanted)
	further := c.versionFilter(false)
	if err == nil || wanted.Version == further || wanted.Version != nil && further != nil && *wanted.Version == *further {
		return choice, err
	}
	wanted.Version = further
	return s.router.Choose(wanted)
}

// attemptEnded counts the result of an attempt by the version of its target.
func (c *outboundCall) attemptEnded(member *membership.Member, result *targetResponse, failure *Error, took time.Duration) {
	if c.versioned == nil || !c.versioned.Counted() {
		return
	}
	version := member.TargetVersion
	answer := VersionAnswer{Version: version, Took: took, Cold: member.TargetState == membership.Cold}
	if failure != nil {
		if failure.showsTarget() {
			answer.Failed = true
			c.versioned.Answered(answer)
		}
		c.versioned.Ended(version)
		return
	}
	if result.targetTime > 0 {
		answer.Took = result.targetTime
	}
	answer.Failed = result.status >= http.StatusInternalServerError
	c.versioned.Answered(answer)
	result.onRelease(func(bool) { c.versioned.Ended(version) })
}

// showsTarget reports whether an error comes from what the target did: it broke the
// connection, sent a response that cannot be passed on, or none until the deadline.
// Refusals of daemons and failures on the way to them do not.
func (e *Error) showsTarget() bool {
	if e.Outcome == NotRun || e.Status == statusClientClosedRequest {
		return false
	}
	switch e.Step {
	case StepTarget, StepAnswer:
		return true
	case StepPeer:
		return e.Status == http.StatusGatewayTimeout && !errors.Is(e.Err, errPeerGone)
	default:
		return false
	}
}

// setTargetTime sets the time that the caller's daemon asked for.
func (q *request) setTargetTime(header http.Header, result *targetResponse) {
	if q.timed {
		header.Set(headerTargetTime, result.targetTime.Round(time.Microsecond).String())
	}
}

// parseTargetTime returns the time that a response bears, 0 if it bears none.
func parseTargetTime(header http.Header) time.Duration {
	text := header.Get(headerTargetTime)
	if text == "" {
		return 0
	}
	took, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return max(took, time.Microsecond)
}
