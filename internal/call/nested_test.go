package call_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/settings"
	"github.com/mulberrybank/mulberrybank/internal/standin/target"
)

// clientAt returns a client whose connections come from an address of this host.
func clientAt(t *testing.T, address string) *http.Client {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(address)}}
	transport := &http.Transport{DialContext: dialer.DialContext}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// getFrom makes a call with a client and returns its status.
func getFrom(t *testing.T, client *http.Client, n *node, path string) int {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, n.callers.URL+"/"+lookups+path, nil)
	assert.NilError(t, err)
	response, err := client.Do(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode
}

// A call that a target makes for a request it runs gets a slot before new calls of the
// same priority that came earlier, on the host of the target and on others.
func TestNestedCallGoesBeforeNewCalls(t *testing.T) {
	const own, client = "127.0.0.1", "127.0.0.2"
	for _, remote := range []bool{false, true} {
		m := newMesh(t, 2, config(func(service *publish.Service, route *publish.Route) {
			service.Slots, service.Queue, service.QueueTimeout = 1, 8, 5*time.Second
		}), nil)
		from, to := m.nodes[0], m.nodes[0]
		if remote {
			to = m.nodes[1]
			from.routeOnlyTo(to)
			to.routeOnlyTo(to)
		} else {
			from.routeOnlyTo(from)
		}
		to.setBehaviour(target.Behaviour{State: target.StateReady, Delay: settings.Duration(300 * time.Millisecond)})
		var tasks conc.WaitGroup
		queued := func(count int) func() bool { return func() bool { return to.server.Load().Queued == count } }
		tasks.Go(func() { getFrom(t, clientAt(t, client), from, "/first") })
		eventually(t, "the slot is taken", func() bool { return to.server.Load().Busy == 1 })
		tasks.Go(func() { getFrom(t, clientAt(t, client), from, "/new") })
		eventually(t, "the new call waits", queued(1))
		tasks.Go(func() { getFrom(t, clientAt(t, own), from, "/nested") })
		eventually(t, "the nested call waits", queued(2))
		tasks.Wait()
		assert.DeepEqual(t, pathsOf(to), []string{"/first", "/nested", "/new"})
	}
}

// pathsOf returns the paths of the requests that a host's target has run, in order.
func pathsOf(n *node) []string {
	var paths []string
	for _, run := range n.target.Runs() {
		paths = append(paths, run.Path)
	}
	return paths
}
