package admin

import (
	"encoding/json"
	"time"
)

// Publication is the body of a request to publish or to validate.
type Publication struct {
	// ID is a UUID minted by the operator's program; a repeated id changes nothing.
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	// Base is the version of the workspace that the changes apply to, 0 for none.
	Base   uint64 `json:"base"`
	Author string `json:"author,omitempty"`
	Reason string `json:"reason,omitempty"`

	SetTemplates    map[string]string `json:"set_templates,omitempty"`
	RemoveTemplates []string          `json:"remove_templates,omitempty"`
	// SetParameters holds values by name.
	SetParameters    map[string]json.RawMessage `json:"set_parameters,omitempty"`
	RemoveParameters []string                   `json:"remove_parameters,omitempty"`
}

// Rollback is the body of a request to publish the content of an old version.
type Rollback struct {
	ID string `json:"id"`
	// Version is the version whose content is published again.
	Version uint64 `json:"version"`
	// Base is the version to replace; 0 stands for the current one.
	Base   uint64 `json:"base,omitempty"`
	Author string `json:"author,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// Fault is one reason why a publication is refused.
type Fault struct {
	// Place is the template, parameter, service or route at fault.
	Place string `json:"place"`
	// Reason says what was found and what is allowed.
	Reason string `json:"reason"`
}

// Verdict is the outcome of one publication.
type Verdict struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	// Outcome is "accepted", "conflict", "refused" or "duplicate".
	Outcome string `json:"outcome"`
	// Offset is the offset of the publication in the log, 0 for a validation.
	Offset uint64 `json:"offset,omitempty"`
	// Version is the version that an accepted publication became.
	Version uint64 `json:"version,omitempty"`
	Author  string `json:"author,omitempty"`
	Reason  string `json:"reason,omitempty"`
	// ConflictVersion and ConflictAuthor name the winner of a conflict.
	ConflictVersion uint64  `json:"conflict_version,omitempty"`
	ConflictAuthor  string  `json:"conflict_author,omitempty"`
	Problems        []Fault `json:"problems,omitempty"`
}

// History lists the verdicts of one workspace that are still kept.
type History struct {
	Workspace string    `json:"workspace"`
	Verdicts  []Verdict `json:"verdicts"`
}

// Source is what one workspace's configuration is rendered from.
type Source struct {
	Workspace  string                     `json:"workspace"`
	Version    uint64                     `json:"version"`
	Templates  map[string]string          `json:"templates"`
	Parameters map[string]json.RawMessage `json:"parameters"`
}

// Diff compares two versions of a workspace as rendered.
type Diff struct {
	Workspace string   `json:"workspace"`
	From      uint64   `json:"from"`
	To        uint64   `json:"to"`
	Changes   []Change `json:"changes"`
}

// Change is one service, route or token that differs between two versions.
type Change struct {
	// Kind is "service", "route" or "token".
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Before is empty for what was added, After for what was removed.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Status is what one daemon knows of the configuration.
type Status struct {
	Host    string `json:"host"`
	Zone    string `json:"zone"`
	Version uint64 `json:"version"`
	// Offset is the highest offset in force on this daemon.
	Offset uint64 `json:"offset"`
	Digest string `json:"digest"`
	// Floor is the lowest offset that this daemon may put in force.
	Floor uint64 `json:"floor"`
	// StalenessMillis is how long ago the daemon last knew that it had all
	// records, -1 when it never did. The unit is a millisecond.
	StalenessMillis int64 `json:"staleness_ms"`
	// Stopped says why the daemon no longer takes new configuration.
	Stopped     string      `json:"stopped,omitempty"`
	Routes      int         `json:"routes"`
	Services    int         `json:"services"`
	Convergence Convergence `json:"convergence"`
}

// Convergence counts the daemons on which an offset is in force.
type Convergence struct {
	Offset uint64 `json:"offset"`
	// Lowest is the lowest offset in force on a living daemon.
	Lowest uint64 `json:"lowest"`
	// Living and InForce count daemons.
	Living  int `json:"living"`
	InForce int `json:"in_force"`
	// Missing names some of the living daemons below Offset.
	Missing []Missing `json:"missing,omitempty"`
}

// Missing is one daemon on which an offset is not known to be in force.
type Missing struct {
	Host string `json:"host"`
	// HeardMillis is how long ago word of the host came, in milliseconds.
	HeardMillis int64 `json:"heard_ms"`
}

// Member is one daemon with its target.
type Member struct {
	Host        string `json:"host"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Incarnation uint64 `json:"incarnation"`
	// State is "alive", "leaving" or "left".
	State   string `json:"state"`
	Service string `json:"service,omitempty"`
	Slots   int    `json:"slots,omitempty"`
	// Target is "none", "cold", "ready" or "draining".
	Target string `json:"target"`
	// Reach is "reachable", "suspect" or "unreachable".
	Reach string    `json:"reach"`
	Heard time.Time `json:"heard"`
}

// Members lists the daemons that this one knows.
type Members struct {
	Members []Member `json:"members"`
}

// Readiness says whether a daemon serves calls, and why not.
type Readiness struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"reasons,omitempty"`
}

// DrainState is the answer to a request to drain or to resume.
type DrainState struct {
	Host     string `json:"host"`
	Draining bool   `json:"draining"`
}
