package publish

import (
	"fmt"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/platform"
)

// Defaults of services and routes that are given as a whole and leave these out.
const (
	// wholeQueueTimeout bounds the wait for a slot.
	wholeQueueTimeout = 10 * time.Second
	// wholeSlots is used when neither the service nor its target names slots.
	wholeSlots = 1
	// wholeQueue bounds the requests that wait for a slot.
	wholeQueue = 64
	// wholeSlowStart is how long a cold target takes to its full share.
	wholeSlowStart = 3 * time.Second
	// wholeRefusals is how many further hosts a call may be taken to.
	wholeRefusals = 3
	// wholeRetryBudget is the share of calls that may be retries.
	wholeRetryBudget = 0.1
)

// EncodeFullConfig makes the payload of a record.
func EncodeFullConfig(whole *Whole) ([]byte, error) {
	return encodeEntry(&Entry{Schema: Schema, Kind: &Entry_Whole{Whole: whole}})
}

// EncodeNoOp makes the payload of a record that changes nothing.
func EncodeNoOp() ([]byte, error) {
	return encodeEntry(&Entry{Schema: Schema, Kind: &Entry_Skip{Skip: &Skip{}}})
}

// IsSelfContained reports whether a record holds a whole configuration, which can
// be folded without the records before it.
func (f *StateMachine) IsSelfContained(record platform.Record) bool {
	entry, err := decodeEntry(record.Payload)
	return err == nil && entry.GetSchema() <= Schema && entry.GetWhole() != nil
}

// foldWhole folds a record with a whole configuration. The verdict is not kept:
// a fold that began at a later whole must equal this one.
func (f *StateMachine) foldWhole(offset uint64, whole *Whole) *Verdict {
	whole = canonical(whole)
	before := f.workspaces[whole.GetWorkspace()].whole
	verdict := f.replaceWhole(offset, whole)
	verdict.Offset = offset
	f.advance(offset)
	if verdict.Outcome == Accepted && before != nil {
		f.change = changeOf(before, whole)
	}
	return &verdict
}

// replaceWhole applies a whole configuration or refuses it.
func (f *StateMachine) replaceWhole(offset uint64, whole *Whole) Verdict {
	verdict := Verdict{
		ID:        fmt.Sprintf("%s/%d", shorten(whole.GetWorkspace(), MaxNameBytes), whole.GetEdition()),
		Workspace: shorten(whole.GetWorkspace(), MaxNameBytes),
	}
	if found := checkWhole(whole); len(found) > 0 {
		return refuse(verdict, found...)
	}
	current := f.workspaces[whole.GetWorkspace()]
	if current.whole != nil && whole.GetEdition() <= current.whole.GetEdition() {
		reason := fmt.Sprintf("%d is not above %d", whole.GetEdition(), current.whole.GetEdition())
		return refuse(verdict, Problem{Place: "edition", Reason: reason})
	}
	workspace := renderWhole(whole)
	next := replace(f.config, workspace)
	if dangling := checkReferences(next); len(dangling) > 0 {
		return refuse(verdict, dangling...)
	}
	workspace.Version = Version(offset)
	next.Version = Version(offset)
	f.config = next
	f.workspaces[workspace.Name] = wholeState(whole, Version(offset))
	verdict.Outcome = Accepted
	verdict.Version = Version(offset)
	return verdict
}

// wholeState is the state of a workspace that is given as a whole.
func wholeState(whole *Whole, version Version) workspaceState {
	wire := &WorkspaceSource{Name: whole.GetWorkspace(), Version: uint64(version), Whole: whole}
	return workspaceState{whole: whole, version: version, digest: digestMessage(wire)}
}

// checkWhole checks what a whole configuration must hold to be rendered.
func checkWhole(whole *Whole) []Problem {
	var found problems
	found.name("workspace", whole.GetWorkspace(), namePattern)
	for _, service := range whole.GetServices() {
		if service.GetName() == "" {
			found.add("service", "has no name")
		}
	}
	for _, route := range whole.GetRoutes() {
		place := "route " + shorten(route.GetName(), MaxNameBytes)
		if route.GetName() == "" {
			found.add("route", "has no name")
		}
		if len(route.GetSplit()) == 0 {
			found.add(place, "names no service")
		}
		within(&found, place, "deadline", time.Duration(route.GetDeadlineUs())*time.Microsecond, MinDeadline, MaxDeadline)
	}
	return found
}

// renderWhole turns a whole configuration into a workspace.
func renderWhole(whole *Whole) *Workspace {
	workspace := &Workspace{Name: whole.GetWorkspace(), Limits: wholeLimits(whole.GetLimits())}
	for _, service := range whole.GetServices() {
		workspace.Services = append(workspace.Services, &Service{
			Name:             workspace.Name + "/" + service.GetName(),
			Slots:            wholeSlots,
			SlotsOverridable: true,
			Queue:            wholeQueue,
			Connections:      int(service.GetConnections()),
			QueueTimeout:     wholeQueueTimeout,
			SlowStart:        wholeSlowStart,
		})
	}
	for _, route := range whole.GetRoutes() {
		workspace.Routes = append(workspace.Routes, renderWholeRoute(workspace.Name, route))
	}
	return workspace
}

func renderWholeRoute(workspace string, wire *WholeRoute) *Route {
	route := &Route{
		Name:        workspace + "/" + wire.GetName(),
		Host:        wire.GetHost(),
		Prefix:      wire.GetPrefix(),
		Idempotent:  wire.GetIdempotent(),
		Keyless:     true,
		Deadline:    time.Duration(wire.GetDeadlineUs()) * time.Microsecond,
		Objective:   time.Duration(wire.GetObjectiveUs()) * time.Microsecond,
		Priority:    int(wire.GetPriority()),
		Retries:     max(int(wire.GetAttempts())-1, 0),
		Refusals:    wholeRefusals,
		RetryBudget: wholeRetryBudget,
	}
	for _, share := range wire.GetSplit() {
		route.Split = append(route.Split, Share{Service: workspace + "/" + share.GetService(), Weight: int(share.GetWeight())})
	}
	route.Service = route.Split[0].Service
	return route
}

func wholeLimits(wire *WholeLimits) *Limits {
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
