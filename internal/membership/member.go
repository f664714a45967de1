// Package membership knows the daemons and targets of the mesh.
package membership

import (
	"strings"
	"time"
)

// State is what a daemon says of itself.
type State uint32

// States of a daemon.
const (
	Alive State = iota + 1
	// Leaving daemons finish what they have and take no new work.
	Leaving
	// Left daemons stopped in order.
	Left
)

// TargetState is what a daemon says of its target.
type TargetState uint32

// States of a target.
const (
	NoTarget TargetState = iota
	// Cold targets have just started and take a growing share.
	Cold
	Ready
	// Draining targets finish what they have and take no new work.
	Draining
)

func (s TargetState) String() string {
	for name, state := range announceableStates {
		if state == s {
			return name
		}
	}
	return "none"
}

// Reachability is what this daemon knows of its contact with a host.
type Reachability int

// Kinds of reach.
const (
	Reachable Reachability = iota
	// Suspect hosts did not answer this daemon nor those that probed for it.
	Suspect
	// Unreachable hosts have been suspect for long or lie in a silent zone.
	Unreachable
)

// EntryVersion orders the entries of one host: a later incarnation goes before an
// earlier one, then the higher counter.
type EntryVersion struct {
	Incarnation uint64
	Counter     uint64
}

// After reports whether p is newer than other.
func (p EntryVersion) After(other EntryVersion) bool {
	if p.Incarnation != other.Incarnation {
		return p.Incarnation > other.Incarnation
	}
	return p.Counter > other.Counter
}

// Member is one daemon and its target as known here.
type Member struct {
	Host           string
	Zone           string
	Region         string
	Version        EntryVersion
	State          State
	ControlAddress string
	CallsAddress   string
	// Service is the full name of the target's service, empty without a target.
	Service     string
	Slots       int
	TargetState TargetState
	// TargetStateSince is when this daemon learnt of TargetState.
	TargetStateSince time.Time
	Reachability     Reachability
	// LastHeard is when this daemon last had word of the host.
	LastHeard time.Time
	// LogRTT is the time of one round trip from the host to the log, 0 when
	// it is not known.
	LogRTT time.Duration
	// AppliedOffset is the highest offset known to be in force on the host.
	AppliedOffset uint64
}

// View is a consistent, immutable picture of the mesh.
type View struct {
	// Self is this daemon's own entry.
	Self Member
	// Members holds all entries by host, Self included.
	Members map[string]Member
	// ByService lists members with a target by the service's full name, sorted by host.
	ByService map[string][]Member
	// Stale is set while this daemon hears of nobody or finds most hosts
	// unreachable, which says more of its own links than of the hosts.
	Stale bool
}

// Directory is what other slices ask of membership.
type Directory interface {
	// View returns the current picture. It never blocks and never returns nil.
	View() *View
	// Changed returns a channel that is closed at the next change of the view.
	Changed() <-chan struct{}
}

// Announcement is what a target tells the daemon of its host.
type Announcement struct {
	// Service is "workspace/service".
	Service string `json:"service"`
	// Address is where the target serves HTTP.
	Address string `json:"address"`
	// Slots is how many requests the target runs at once.
	Slots int `json:"slots"`
	// State is "cold", "ready" or "draining".
	State string `json:"state"`
	// Instance names one start of the target, empty when it gives none.
	Instance string `json:"instance,omitempty"`
	// StartedUnixMs is when the instance started by its own clock, in milliseconds
	// since 1970; 0 when it is not given.
	StartedUnixMs int64 `json:"started,omitempty"`
	// Sequence grows with each announcement of one start, so that a late one is
	// told apart; 0 when it is not given.
	Sequence uint64 `json:"sequence,omitempty"`
}

// ShortName returns the part of a full name after the workspace.
func ShortName(full string) string {
	_, name, found := strings.Cut(full, "/")
	if !found {
		return full
	}
	return name
}
