package call_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// slowLink is a link on which a response of linkBody bytes takes 0.8 s.
func slowLink(_ int, o *call.Options) { o.LinkMbps = 8 }

const linkBody = 600_000

// Guards against: downloads that wait for the link hold all slots of their target, so that
// short requests are refused (SHORT on ammersee-charts-grown).
func TestLongResponseOnItsWayHoldsNoSlot(t *testing.T) {
	m := newMesh(t, 2, config(oneSlot), slowLink)
	at := m.nodes[0]
	at.serveBody(t, linkBody)
	for _, from := range m.nodes {
		from.routeOnlyTo(at)
		response, err := from.callers.Client().Get(from.callers.URL + "/" + lookups)
		assert.NilError(t, err)
		defer response.Body.Close()
		assert.Equal(t, at.server.Load().Busy, 0, "a response on its way to %s", from.name)
		read, err := io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.Equal(t, read, int64(linkBody))
	}
}

// Guards against: requests that run though the link cannot carry their responses in time. A
// refused one has not run, and the rank is served again once the link is free.
func TestRequestsBeyondTheLinkAreRefused(t *testing.T) {
	short := func(service *publish.Service, route *publish.Route) {
		withoutRetries(service, route)
		route.Objective = 2 * time.Second
	}
	m := newMesh(t, 1, config(short), slowLink)
	n := m.nodes[0]
	n.serveBody(t, linkBody)
	assert.Equal(t, len(n.get(t, lookups).body), linkBody)
	var onTheirWay []*http.Response
	defer func() {
		for _, response := range onTheirWay {
			_ = response.Body.Close()
		}
	}()
	refused := false
	for range 8 {
		response, err := n.callers.Client().Get(n.callers.URL + "/" + lookups)
		assert.NilError(t, err)
		onTheirWay = append(onTheirWay, response)
		if response.StatusCode != http.StatusOK {
			refused = true
			assert.Equal(t, response.Header.Get(call.HeaderOutcome), string(call.NotRun))
		}
	}
	assert.Assert(t, refused, "8 responses of %d bytes were admitted to a link of 1 MB/s", linkBody)
	for _, response := range onTheirWay {
		if response.StatusCode == http.StatusOK {
			read, err := io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
			assert.Equal(t, read, int64(linkBody))
		}
	}
	eventually(t, "the link is free again", func() bool { return n.get(t, lookups).status == http.StatusOK })
}

// Guards against: long responses that fill the memory of the daemon, and bytes that stay
// accounted for after their response has ended.
func TestHeldResponsesAreBounded(t *testing.T) {
	queue := call.NewLinkQueue(1e6)
	assert.Assert(t, !queue.Hold(call.MaxHeldBody+1))
	held := 0
	for queue.Hold(call.MaxHeldBody) {
		held++
	}
	assert.Equal(t, held, call.MaxHeldBytes/call.MaxHeldBody)
	queue.Drop(call.MaxHeldBody)
	assert.Assert(t, queue.Hold(call.MaxHeldBody))

	const rank = 1
	reserved, admitted := queue.Admit(rank, time.Millisecond)
	assert.Assert(t, admitted && reserved == 0, "nothing is known of the rank")
	queue.Observe(rank, 100_000)
	_, admitted = queue.Admit(rank, 190*time.Millisecond)
	assert.Assert(t, !admitted, "0.1 s of the link in half of 0.19 s")
	for range 5 {
		reserved, admitted = queue.Admit(rank, 2*time.Second)
		assert.Assert(t, admitted && reserved == 100_000)
	}
	_, admitted = queue.Admit(rank, time.Second)
	assert.Assert(t, !admitted)
	for range 5 {
		queue.Add(-reserved)
	}
	_, admitted = queue.Admit(rank, time.Second)
	assert.Assert(t, admitted)
}
