// Package membership tracks the daemons and targets of the mesh: it
// synchronises a table of hosts between daemons by heartbeats, detects failed
// hosts, and holds the lease of the target on this host.
package membership

import (
	"strings"
	"time"
)

// State is the state of a daemon, as published by itself.
type State uint32

// States of a daemon.
const (
	Alive State = iota + 1
	// Leaving daemons finish their running requests and take no new work.
	Leaving
	// Left daemons have shut down cleanly.
	Left
)

// TargetState is the state of a target, as published by the daemon of its host.
type TargetState uint32

// States of a target.
const (
	NoTarget TargetState = iota
	// Cold targets have just started and take a growing share of requests.
	Cold
	Ready
	// Draining targets finish their running requests and take no new work.
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

// Values of Reachability.
const (
	Reachable Reachability = iota
	// Suspect hosts answered neither this daemon nor the peers that probed them
	// on its behalf.
	Suspect
	// Unreachable hosts stayed suspect for suspicionTimeout, are reported by
	// others, lie in a silent zone or region, or lost their address to another
	// host.
	Unreachable
)

// EntryVersion orders the entries of one host: the higher incarnation wins,
// then the higher counter.
type EntryVersion struct {
	Incarnation uint64
	Counter     uint64
}

// After reports whether p supersedes other.
func (v EntryVersion) After(other EntryVersion) bool {
	if v.Incarnation != other.Incarnation {
		return v.Incarnation > other.Incarnation
	}
	return v.Counter > other.Counter
}

// Member is what this daemon knows of a daemon and its target.
type Member struct {
	Host           string
	Zone           string
	Region         string
	Version        EntryVersion
	State          State
	ControlAddress string
	CallsAddress   string
	// Service is the full name of the target's service, empty if there is no target.
	Service     string
	Slots       int
	TargetState TargetState
	// TargetVersion is the program version that the target announced, empty if it
	// announced none.
	TargetVersion string
	// TargetStateSince is when this daemon learnt of TargetState.
	TargetStateSince time.Time
	Reachability     Reachability
	// LastHeard is when this daemon last received a heartbeat or an entry of the host.
	LastHeard time.Time
	// LogRTT is the round-trip time from the host to the log, 0 if unknown.
	LogRTT time.Duration
	// AppliedOffset is the highest configuration offset known to be applied on
	// the host.
	AppliedOffset uint64
}

// View is a consistent, immutable snapshot of the mesh.
type View struct {
	// Self is this daemon.
	Self Member
	// Members holds all members by host, including Self.
	Members Map[Member]
	// ByService lists the members that have a target, by the full name of its
	// service and sorted by host. A list stays the same while no member of it changes.
	ByService Map[[]Member]
	// Stale is set while this daemon is in contact with no host or finds most
	// hosts unreachable. The cause is then probably its own links.
	Stale bool
}

// Directory gives other packages access to the view.
type Directory interface {
	// View returns the current view. It never blocks and never returns nil.
	View() *View
	// Changed returns a channel that is closed at the next change of the view.
	Changed() <-chan struct{}
}

// Announcement is sent by a target to the daemon of its host.
type Announcement struct {
	// Service is "workspace/service".
	Service string `json:"service"`
	// Address is where the target serves HTTP.
	Address string `json:"address"`
	// Slots is how many requests the target runs concurrently.
	Slots int `json:"slots"`
	// Version is the version of the program that the target runs, empty if not given.
	Version string `json:"version,omitempty"`
	// State is "cold", "ready" or "draining".
	State string `json:"state"`
	// Instance identifies the running process of the target, empty if not given.
	Instance string `json:"instance,omitempty"`
	// StartedUnixMs is when the instance started by its own clock, as Unix time
	// in milliseconds, 0 if not given.
	StartedUnixMs int64 `json:"started,omitempty"`
	// Sequence grows with each announcement of one instance, so that one which
	// arrives late can be recognised; 0 if not given.
	Sequence uint64 `json:"sequence,omitempty"`
}

// IsDeparture reports whether the target announces that it leaves.
func (a Announcement) IsDeparture() bool { return announceableStates[a.State] == Draining }

// ShortName returns the part of a service's full name after the workspace.
func ShortName(full string) string {
	_, name, found := strings.Cut(full, "/")
	if !found {
		return full
	}
	return name
}
