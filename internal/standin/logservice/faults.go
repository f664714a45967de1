package logservice

import "time"

// Faults are switched on and off while the service runs. The zero value is a
// service without faults.
type Faults struct {
	// Refuse answers every request with "unavailable" and writes nothing.
	Refuse bool `json:"refuse"`
	// DelayMillis holds every request for that long, in milliseconds.
	DelayMillis int64 `json:"delay_ms"`
	// DropResponses lets appends take effect and then loses their answers.
	DropResponses bool `json:"lose_answers"`
	// DropNextResponses is how many more appends lose their answers.
	DropNextResponses int `json:"lose_next"`
	// Silent leaves every request without an answer until the fault is lifted
	// or the client leaves. Nothing is written before.
	Silent bool `json:"silent"`
	// SilenceOpenConnections leaves the requests of the connections that are open when it
	// is switched on without an answer, for good. New connections work. It
	// concerns HTTP only and switches itself off.
	SilenceOpenConnections bool `json:"silent_open"`
}

func (f Faults) delay() time.Duration {
	return time.Duration(f.DelayMillis) * time.Millisecond
}

// Counts are the requests that the service took, by kind.
type Counts struct {
	Appends uint64 `json:"appends"`
	Reads   uint64 `json:"reads"`
	// Refused, Lost and Silenced count requests that met a fault.
	Refused          uint64 `json:"refused"`
	DroppedResponses uint64 `json:"lost"`
	Silenced         uint64 `json:"silenced"`
}
