package publish

import (
	"fmt"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/platform"
)

// Settings of services and routes that a full configuration cannot express.
const (
	// fullConfigQueueTimeout is the longest wait for a slot.
	fullConfigQueueTimeout = 10 * time.Second
	// fullConfigSlots applies unless the target announces its slots.
	fullConfigSlots = 1
	// fullConfigQueue is the number of requests that may wait for a slot.
	fullConfigQueue = 64
	// fullConfigSlowStart is how long a cold target takes to reach its full share.
	fullConfigSlowStart = 3 * time.Second
	// fullConfigRefusals is the number of further hosts tried after a host
	// refused a call.
	fullConfigRefusals = 3
	// fullConfigRetryBudget is the largest ratio of retries to calls.
	fullConfigRetryBudget = 0.1
)

// EncodeFullConfig encodes a record payload with a full configuration.
func EncodeFullConfig(full *Whole) ([]byte, error) {
	return encodeEntry(&Entry{Schema: schemaOfFullConfig(full), Kind: &Entry_Whole{Whole: full}})
}

// EncodeNoOp encodes a record payload that changes nothing.
func EncodeNoOp() ([]byte, error) {
	return encodeEntry(&Entry{Schema: baseSchema, Kind: &Entry_Skip{Skip: &Skip{}}})
}

// IsSelfContained reports whether a record holds a full configuration or an order,
// which can be applied without the records before it.
func (m *StateMachine) IsSelfContained(record platform.Record) bool {
	entry, err := decodeEntry(record.Payload)
	return err == nil && entry.GetSchema() <= Schema && (entry.GetWhole() != nil || entry.GetRolloutOrder() != nil)
}

// applyFullConfig applies a record with a full configuration. The verdict is not
// retained, because a state machine that started at a later full configuration
// must reach the same state.
func (m *StateMachine) applyFullConfig(offset uint64, full *Whole) *Verdict {
	full = canonical(full)
	before := m.workspaces[full.GetWorkspace()].full
	verdict := m.replaceFullConfig(offset, full)
	verdict.Offset = offset
	m.advanceTo(offset)
	if verdict.Outcome == Accepted && before != nil {
		m.change = changeBetween(before, full)
		m.changeSchema = schemaOfChange(before, full)
	}
	return &verdict
}

// replaceFullConfig replaces the configuration of a workspace, or refuses the
// new one.
func (m *StateMachine) replaceFullConfig(offset uint64, full *Whole) Verdict {
	verdict := Verdict{
		ID:        fmt.Sprintf("%s/%d", truncate(full.GetWorkspace(), MaxNameBytes), full.GetEdition()),
		Workspace: truncate(full.GetWorkspace(), MaxNameBytes),
	}
	current := m.workspaces[full.GetWorkspace()]
	found := checkFullConfig(full)
	if !equalClients(full.GetClients(), current.full.GetClients()) {
		found = append(found, checkClients(full.GetClients())...)
	}
	if len(found) > 0 {
		return refuse(verdict, found...)
	}
	if current.full != nil && full.GetEdition() <= current.full.GetEdition() {
		reason := fmt.Sprintf("%d is not above %d", full.GetEdition(), current.full.GetEdition())
		return refuse(verdict, Problem{Place: "edition", Reason: reason})
	}
	workspace := renderFullConfig(full)
	var previous *ClientWorkspaces
	if rendered := m.config.Workspaces[workspace.Name]; rendered != nil && current.full != nil {
		previous = rendered.Clients
	}
	workspace.Clients = renderClients(full.GetClients(), current.full.GetClients(), previous)
	if previous != nil && workspace.Clients == previous {
		// The hashes of the new record would be a second copy.
		full.Clients = current.full.GetClients()
	}
	next := withWorkspace(m.config, workspace)
	if dangling := checkReferences(next); len(dangling) > 0 {
		return refuse(verdict, dangling...)
	}
	workspace.Version = Version(offset)
	next.Version = Version(offset)
	m.config = next
	m.workspaces[workspace.Name] = fullConfigState(full, Version(offset))
	verdict.Outcome = Accepted
	verdict.Version = Version(offset)
	return verdict
}

// RenderFullConfig converts a full configuration to a workspace, or returns all problems
// for which daemons refuse it, whatever they hold.
func RenderFullConfig(full *Whole) (*Workspace, []Problem) {
	full = canonical(full)
	found := append(checkFullConfig(full), checkClients(full.GetClients())...)
	if len(found) > 0 {
		return nil, found
	}
	workspace := renderFullConfig(full)
	workspace.Clients = renderClients(full.GetClients(), nil, nil)
	if dangling := checkReferences(withWorkspace(emptyConfiguration(), workspace)); len(dangling) > 0 {
		return nil, dangling
	}
	return workspace, nil
}

// fullConfigState returns the state of a workspace that is set by a full
// configuration.
func fullConfigState(full *Whole, version Version) workspaceState {
	wire := &WorkspaceSource{Name: full.GetWorkspace(), Version: uint64(version), Whole: full}
	return workspaceState{full: full, version: version, digest: digestMessage(wire)}
}

// checkFullConfig checks the fields that rendering a full configuration needs, without
// those of its client workspaces.
func checkFullConfig(full *Whole) []Problem {
	var found problems
	found.checkName("workspace", full.GetWorkspace(), namePattern)
	for _, service := range full.GetServices() {
		if service.GetName() == "" {
			found.add("service", "has no name")
		}
	}
	for _, route := range full.GetRoutes() {
		place := "route " + truncate(route.GetName(), MaxNameBytes)
		if route.GetName() == "" {
			found.add("route", "has no name")
		}
		if len(route.GetSplit()) == 0 {
			found.add(place, "names no service")
		}
		checkRange(&found, place, "deadline", time.Duration(route.GetDeadlineUs())*time.Microsecond, MinDeadline, MaxDeadline)
	}
	return found
}

// renderFullConfig converts a full configuration to a workspace without its client
// workspaces.
func renderFullConfig(full *Whole) *Workspace {
	workspace := &Workspace{Name: full.GetWorkspace(), Limits: fullConfigLimits(full.GetLimits())}
	for _, service := range full.GetServices() {
		workspace.Services = append(workspace.Services, &Service{
			Name:             workspace.Name + "/" + service.GetName(),
			Slots:            fullConfigSlots,
			SlotsOverridable: true,
			Queue:            fullConfigQueue,
			Connections:      int(service.GetConnections()),
			QueueTimeout:     fullConfigQueueTimeout,
			SlowStart:        fullConfigSlowStart,
		})
	}
	for _, route := range full.GetRoutes() {
		workspace.Routes = append(workspace.Routes, renderFullConfigRoute(workspace.Name, route))
	}
	return workspace
}

func renderFullConfigRoute(workspace string, wire *WholeRoute) *Route {
	route := &Route{
		Name:        workspace + "/" + wire.GetName(),
		Host:        wire.GetHost(),
		Prefix:      wire.GetPrefix(),
		Idempotent:  wire.GetIdempotent(),
		Keyless:     true,
		Public:      wire.GetPublic(),
		Deadline:    time.Duration(wire.GetDeadlineUs()) * time.Microsecond,
		Objective:   time.Duration(wire.GetObjectiveUs()) * time.Microsecond,
		Priority:    int(wire.GetPriority()),
		Retries:     max(int(wire.GetAttempts())-1, 0),
		Refusals:    fullConfigRefusals,
		RetryBudget: fullConfigRetryBudget,
	}
	for _, share := range wire.GetSplit() {
		route.Split = append(route.Split, Share{Service: workspace + "/" + share.GetService(), Weight: int(share.GetWeight())})
	}
	route.Service = route.Split[0].Service
	return route
}

func fullConfigLimits(wire *WholeLimits) *Limits {
	if wire == nil {
		return nil
	}
	return &Limits{
		HeaderBytes:   int64(wire.GetHeaderBytes()),
		BodyBytes:     int64(wire.GetBodyBytes()),
		HeaderTimeout: time.Duration(wire.GetHeaderTimeoutUs()) * time.Microsecond,
		IdleTimeout:   time.Duration(wire.GetIdleTimeoutUs()) * time.Microsecond,
	}
}
