package publish

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
)

// maxRolloutDuration is the longest time that an order may give.
const maxRolloutDuration = 24 * time.Hour

// Rollout is an order to move the calls of a service to the targets of one version.
type Rollout struct {
	// Service is the full name, "workspace/service".
	Service string
	Version string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
}

// EncodeRolloutOrder encodes a record payload with an order.
func EncodeRolloutOrder(order *RolloutOrder) ([]byte, error) {
	return encodeEntry(&Entry{Schema: Schema, Kind: &Entry_RolloutOrder{RolloutOrder: order}})
}

// rolloutOrders holds the newest valid order of each service and their digest.
type rolloutOrders struct {
	byService map[string]*RolloutOrder
	digest    itemDigest
}

func (o *RolloutOrder) fullName() string { return o.GetWorkspace() + "/" + o.GetService() }

// sorted returns the orders by full name of their service.
func (o rolloutOrders) sorted() []*RolloutOrder {
	return slices.SortedFunc(maps.Values(o.byService), func(a, b *RolloutOrder) int {
		return cmp.Compare(a.fullName(), b.fullName())
	})
}

// with returns a copy in which an order replaces the one of its service, or removes it
// if keep is false.
func (o rolloutOrders) with(order *RolloutOrder, keep bool) rolloutOrders {
	next := rolloutOrders{byService: maps.Clone(o.byService)}
	if next.byService == nil {
		next.byService = make(map[string]*RolloutOrder)
	}
	delete(next.byService, order.fullName())
	if keep {
		next.byService[order.fullName()] = order
	}
	next.digest = digestMessage(&Snapshot{RolloutOrders: next.sorted()})
	return next
}

// rollouts returns the orders in the form of a Configuration, nil for none.
func (o rolloutOrders) rollouts() map[string]*Rollout {
	if len(o.byService) == 0 {
		return nil
	}
	rollouts := make(map[string]*Rollout, len(o.byService))
	for service, order := range o.byService {
		rollouts[service] = &Rollout{
			Service:  service,
			Version:  order.GetVersion(),
			Duration: time.Duration(order.GetDurationUs()) * time.Microsecond,
		}
	}
	return rollouts
}

// applyRolloutOrder applies a record with an order. The state that results does not
// depend on the configuration before it, because a state machine that starts with the
// newest record of each key may read the order first. The verdict is not retained, for
// the same reason. An invalid order removes the one that it replaces.
func (m *StateMachine) applyRolloutOrder(offset uint64, order *RolloutOrder) *Verdict {
	verdict := Verdict{
		ID:        truncate(fmt.Sprintf("rollout/%s/%s", order.GetService(), order.GetVersion()), MaxIDBytes),
		Workspace: truncate(order.GetWorkspace(), MaxNameBytes),
		Offset:    offset,
	}
	found := checkRolloutOrder(order)
	if len(order.ProtoReflect().GetUnknown()) > 0 {
		order = proto.CloneOf(order)
		order.ProtoReflect().SetUnknown(nil)
	}
	m.setOrders(m.orders.with(order, len(found) == 0))
	m.advanceTo(offset)
	if len(m.workspaces) == 0 {
		m.awaitsConfiguration = true
	}
	if len(found) == 0 && m.workspaces[order.GetWorkspace()].full != nil && m.config.Services[order.fullName()] == nil {
		found = append(found, Problem{Place: "service", Reason: fmt.Sprintf("%s does not exist", order.fullName())})
	}
	if len(found) > 0 {
		verdict = refuse(verdict, found...)
		return &verdict
	}
	verdict.Outcome = Accepted
	verdict.Version = Version(offset)
	return &verdict
}

// setOrders replaces the orders, also in the configuration.
func (m *StateMachine) setOrders(orders rolloutOrders) {
	m.orders = orders
	next := *m.config
	next.Rollouts = orders.rollouts()
	m.config = &next
}

func checkRolloutOrder(order *RolloutOrder) []Problem {
	var found problems
	found.checkName("workspace", order.GetWorkspace(), namePattern)
	if order.GetService() == "" {
		found.add("service", "is empty")
	}
	checkLength(&found, "service", order.GetService(), MaxNameBytes)
	if order.GetVersion() == "" {
		found.add("version", "is empty")
	}
	checkLength(&found, "version", order.GetVersion(), MaxNameBytes)
	if us := order.GetDurationUs(); us == 0 || us > uint64(maxRolloutDuration/time.Microsecond) {
		found.add("duration", "is %dus, want 1us to %s", us, maxRolloutDuration)
	}
	return found
}

// HasConfiguration reports whether the state can be activated. A state that began with
// an order has no configuration until the first one is applied.
func (m *StateMachine) HasConfiguration() bool {
	return !m.awaitsConfiguration || len(m.workspaces) > 0
}
