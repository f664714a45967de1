// Package timeline records typed events of every process in one order and
// checks the promises of the system on them.
package timeline

// Kind names what happened.
type Kind string

// Kinds of events.
const (
	Started         Kind = "started"
	Stopping        Kind = "stopping"
	Stopped         Kind = "stopped"
	Published       Kind = "published"
	VerdictReached  Kind = "verdict"
	InForce         Kind = "in-force"
	Diverged        Kind = "diverged"
	SchemaUnknown   Kind = "schema-unknown"
	SnapshotWritten Kind = "snapshot-written"
	SnapshotSkipped Kind = "snapshot-skipped"
	Announced       Kind = "announced"
	Draining        Kind = "draining"
	Withdrawn       Kind = "withdrawn"
	Suspected       Kind = "suspected"
	Unreachable     Kind = "unreachable"
	Recovered       Kind = "recovered"
	CallBegan       Kind = "call-began"
	Sent            Kind = "sent"
	Ran             Kind = "ran"
	Answered        Kind = "answered"
	Failed          Kind = "failed"
	Granted         Kind = "granted"
	KeyRefused      Kind = "key-refused"
	PlatformLost    Kind = "platform-lost"
	PlatformFound   Kind = "platform-found"
	UpstreamChosen  Kind = "upstream-chosen"
	// EventsDropped stands at the head of a list of events that is not whole.
	EventsDropped Kind = "events-dropped"
)

// Event is one thing that happened on one process.
type Event struct {
	// Time orders events over all processes.
	Time        Timestamp `json:"time"`
	Host        string    `json:"host"`
	Zone        string    `json:"zone,omitempty"`
	Incarnation uint64    `json:"incarnation,omitempty"`
	Kind        Kind      `json:"kind"`
	// Offset and Version are set on events of the configuration.
	Offset  uint64 `json:"offset,omitempty"`
	Version uint64 `json:"version,omitempty"`
	// Routes and Dangling count the routes in force and those without service.
	Routes   int `json:"routes,omitempty"`
	Dangling int `json:"dangling,omitempty"`
	// Call identifies a call from its first daemon to its target.
	Call string `json:"call,omitempty"`
	// Attempt numbers the attempts of one call from 1.
	Attempt int    `json:"attempt,omitempty"`
	Key     string `json:"key,omitempty"`
	Service string `json:"service,omitempty"`
	// Peer is the host at the other end: the target's host for Sent.
	Peer string `json:"peer,omitempty"`
	// Outcome is "accepted", "not-run", "unknown", "answered" and so on.
	Outcome string `json:"outcome,omitempty"`
	Status  int    `json:"status,omitempty"`
	Digest  string `json:"digest,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// Recorder takes events of one process. It never blocks.
type Recorder interface {
	// Record stamps the event with host, zone and incarnation, and with the
	// time unless the event has one already.
	Record(event Event)
}

// Discard drops every event.
type Discard struct{}

// Record does nothing.
func (Discard) Record(Event) {}
