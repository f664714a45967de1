package call_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/settings"
	"github.com/mulberrybank/mulberrybank/internal/standin/target"
)

// Of calls of the same priority that wait for a slot, those with a short objective, such
// as calls that a target makes for a request it runs, go before earlier ones that may
// take longer, but do not starve them.
func TestCallsAreServedAsTheyAreDue(t *testing.T) {
	const urgent = "railway/urgent"
	configuration := config(func(service *publish.Service, route *publish.Route) {
		service.Slots, service.Queue, service.QueueTimeout = 1, 8, 5*time.Second
		route.Objective = 3 * time.Second
	})
	urgentRoute := *configuration.Routes[lookups]
	urgentRoute.Name, urgentRoute.Objective = urgent, 2*time.Second
	configuration.Routes[urgent] = &urgentRoute
	m := newMesh(t, 2, configuration, nil)
	from, to := m.nodes[0], m.nodes[1]
	from.routeOnlyTo(to)
	to.routeOnlyTo(to)
	to.setBehaviour(target.Behaviour{State: target.StateReady, Delay: settings.Duration(200 * time.Millisecond)})
	var tasks conc.WaitGroup
	calls := []string{lookups + "/first", lookups + "/long", lookups + "/long", urgent + "/short", urgent + "/short"}
	for i, path := range calls {
		tasks.Go(func() { assert.Check(t, from.get(t, path).status == http.StatusOK) })
		eventually(t, "the call has come", func() bool {
			load := to.server.Load()
			return load.Busy+load.Queued == i+1
		})
	}
	tasks.Wait()
	assert.DeepEqual(t, pathsOf(to), []string{"/first", "/short", "/short", "/long", "/long"})
}

// pathsOf returns the paths of the requests that a host's target has run, in order.
func pathsOf(n *node) []string {
	var paths []string
	for _, run := range n.target.Runs() {
		paths = append(paths, run.Path)
	}
	return paths
}

func TestRankOrdersByPriorityAndObjective(t *testing.T) {
	calls := []struct {
		priority  int
		objective time.Duration
	}{
		{0, time.Millisecond}, {0, 120 * time.Millisecond}, {0, 500 * time.Millisecond}, {0, time.Hour}, {0, 0},
		{1, time.Millisecond}, {1, 0}, {2, time.Nanosecond}, {2, 4000 * time.Hour}, {2, 0},
	}
	for i := 1; i < len(calls); i++ {
		before, after := calls[i-1], calls[i]
		assert.Assert(t, call.CallRank(before.priority, before.objective) < call.CallRank(after.priority, after.objective), "%v %v", before, after)
	}
	assert.Equal(t, call.CallRank(1, 500*time.Millisecond), call.CallRank(1, 600*time.Millisecond))
}
