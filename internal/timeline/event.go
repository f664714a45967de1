// Package timeline records events of all processes, merges them into one causal
// order and verifies the invariants of the system on them.
package timeline

// Kind is the type of an event.
type Kind string

// Kinds of events.
const (
	// Life cycle of a process.
	Started  Kind = "started"
	Stopping Kind = "stopping"
	Stopped  Kind = "stopped"

	Published Kind = "published"
	// VerdictReached: a host applied a publication; Outcome says whether it was
	// accepted.
	VerdictReached Kind = "verdict"
	// InForce: a configuration became active on a host.
	InForce Kind = "in-force"
	// Diverged: two hosts have different configurations at the same offset.
	Diverged Kind = "diverged"
	// SchemaUnknown: the binary of a host cannot apply a record.
	SchemaUnknown   Kind = "schema-unknown"
	SnapshotWritten Kind = "snapshot-written"
	SnapshotSkipped Kind = "snapshot-skipped"

	// State of the target of a host, as the host announces it to the members.
	Announced Kind = "announced"
	Draining  Kind = "draining"
	Withdrawn Kind = "withdrawn"

	// Contact with another host, or with a zone or region, as seen by one host.
	Suspected   Kind = "suspected"
	Unreachable Kind = "unreachable"
	Recovered   Kind = "recovered"

	CallBegan Kind = "call-began"
	// Sent: an attempt of a call was sent to the host of a target.
	Sent Kind = "sent"
	// Ran: an attempt of a call was passed to the target.
	Ran      Kind = "ran"
	Answered Kind = "answered"
	Failed   Kind = "failed"

	// Granted: a grant of idempotency keys was appended to the log.
	Granted    Kind = "granted"
	KeyRefused Kind = "key-refused"

	// PlatformLost: the log of the platform became unavailable.
	PlatformLost Kind = "platform-lost"
	// PlatformFound: the log of the platform is available again.
	PlatformFound Kind = "platform-found"
	// UpstreamChosen: a host selected the source of its configuration.
	UpstreamChosen Kind = "upstream-chosen"

	// EventsDropped is the first event of a list from which events were dropped.
	EventsDropped Kind = "events-dropped"
)

// Event is one recorded event of one process.
type Event struct {
	// Time is a reading of a hybrid logical clock, so that events of all processes
	// are in causal order.
	Time        Timestamp `json:"time"`
	Host        string    `json:"host"`
	Zone        string    `json:"zone,omitempty"`
	Incarnation uint64    `json:"incarnation,omitempty"`
	Kind        Kind      `json:"kind"`
	// Offset and Version are set on events about configuration.
	Offset  uint64 `json:"offset,omitempty"`
	Version uint64 `json:"version,omitempty"`
	// Routes counts the active routes, Dangling their references to services that
	// do not exist.
	Routes   int `json:"routes,omitempty"`
	Dangling int `json:"dangling,omitempty"`
	// Call is the ID of a call, equal on all daemons that the call passes.
	Call string `json:"call,omitempty"`
	// Attempt numbers the attempts of one call from 1.
	Attempt int `json:"attempt,omitempty"`
	// Key is the idempotency key.
	Key     string `json:"key,omitempty"`
	Service string `json:"service,omitempty"`
	// Peer is the remote host that the event concerns, such as the host of the
	// target for Sent.
	Peer string `json:"peer,omitempty"`
	// Outcome is the result of a publication or a call, such as "accepted" or
	// "not-run".
	Outcome string `json:"outcome,omitempty"`
	Status  int    `json:"status,omitempty"`
	Digest  string `json:"digest,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// Recorder records the events of one process without blocking.
type Recorder interface {
	// Record sets host, zone and incarnation of the event, and the time unless it
	// is set.
	Record(event Event)
}

// Discard is a Recorder that drops all events.
type Discard struct{}

// Record drops the event.
func (Discard) Record(Event) {}
