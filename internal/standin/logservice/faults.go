package logservice

import "time"

// Faults are the faults that a service injects. They can be changed at any time. The
// zero value injects none.
type Faults struct {
	// Refuse rejects every request with status 503 and writes nothing.
	Refuse bool `json:"refuse"`
	// DelayMillis delays every request by so many milliseconds.
	DelayMillis int64 `json:"delay_ms"`
	// DropResponses executes appends but loses their responses.
	DropResponses bool `json:"lose_answers"`
	// DropNextResponses is the number of further appends whose responses are lost.
	DropNextResponses int `json:"lose_next"`
	// Silent blocks every request until the fault is removed or the client closes
	// the connection. Nothing is written before that.
	Silent bool `json:"silent"`
	// SilenceOpenConnections permanently blocks the requests on the connections
	// that are open when it is set. New connections work. It affects HTTP only
	// and resets itself.
	SilenceOpenConnections bool `json:"silent_open"`
}

func (f Faults) delay() time.Duration {
	return time.Duration(f.DelayMillis) * time.Millisecond
}

// Counts are the numbers of requests of a service by kind.
type Counts struct {
	Appends uint64 `json:"appends"`
	Reads   uint64 `json:"reads"`
	// Refused, DroppedResponses and Silenced count requests affected by a fault.
	Refused          uint64 `json:"refused"`
	DroppedResponses uint64 `json:"lost"`
	Silenced         uint64 `json:"silenced"`
}
