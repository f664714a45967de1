package call_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/settings"
	"github.com/mulberrybank/mulberrybank/internal/standin/target"
)

// TestUrgentCallsAreServedFirstOverDaemons overloads three targets through three
// daemons with calls of two priorities. Those of the higher priority are answered
// at least as often, within a tolerance.
func TestUrgentCallsAreServedFirstOverDaemons(t *testing.T) {
	const (
		callers   = 20
		calls     = 6
		work      = 40 * time.Millisecond
		urgent    = "railway/urgent"
		tolerance = 10
	)
	configuration := config(func(service *publish.Service, route *publish.Route) {
		service.QueueTimeout = time.Second
		route.Deadline, route.Objective, route.Priority = time.Second, 400*time.Millisecond, 2
	})
	urgentRoute := *configuration.Routes[lookups]
	urgentRoute.Name, urgentRoute.Priority = urgent, 0
	configuration.Routes[urgent] = &urgentRoute
	m := newMesh(t, 3, configuration, nil)
	for _, n := range m.nodes {
		n.setBehaviour(target.Behaviour{State: target.StateReady, Delay: settings.Duration(work)})
	}
	var answered [2]atomic.Int64
	var tasks conc.WaitGroup
	for _, n := range m.nodes {
		for i := range 2 * callers {
			kind := i % 2
			tasks.Go(func() {
				for range calls {
					if got := n.get(t, []string{urgent, lookups}[kind]+"/heaters"); got.status == http.StatusOK {
						answered[kind].Add(1)
					}
				}
			})
		}
	}
	tasks.Wait()
	urgentAnswered, normalAnswered := answered[0].Load(), answered[1].Load()
	t.Logf("%d urgent and %d normal of %d each", urgentAnswered, normalAnswered, 3*callers*calls)
	assert.Assert(t, urgentAnswered > 0 && normalAnswered < 3*callers*calls, "not an overload")
	assert.Assert(t, urgentAnswered+tolerance >= normalAnswered, "%d urgent, %d normal", urgentAnswered, normalAnswered)
}
