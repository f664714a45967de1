package call_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/standin/target"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// twoHops returns a mesh in which the calls of the first host go to the second.
func twoHops(t *testing.T, config *publish.Configuration, change func(int, *call.Options)) (*mesh, *node, *node) {
	m := newMesh(t, 2, config, change)
	m.nodes[0].routeOnlyTo(m.nodes[1])
	return m, m.nodes[0], m.nodes[1]
}

// withoutRetries disables retries.
func withoutRetries(_ *publish.Service, route *publish.Route) { route.Retries = 0 }

func TestHangingTargetEndsByDeadlineAsUnknown(t *testing.T) {
	m, from, to := twoHops(t, config(withoutRetries), nil)
	to.setBehaviour(target.Behaviour{Hang: true})
	got := from.get(t, lookups, call.HeaderDeadline, "100ms")
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Equal(t, got.outcome(), string(call.Unknown))
	assert.Equal(t, got.header.Get(call.HeaderPeer), "b")
	eventually(t, "the run is cancelled", func() bool {
		runs := m.runsOf(got.id())
		return len(runs) == 1 && runs[0].Cancelled
	})
}

func TestCancellationReachesTheTarget(t *testing.T) {
	longDeadline := func(_ *publish.Service, route *publish.Route) { route.Deadline = time.Hour }
	m, from, to := twoHops(t, config(longDeadline), nil)
	to.setBehaviour(target.Behaviour{Hang: true})
	ctx, cancel := context.WithCancel(t.Context())
	var tasks conc.WaitGroup
	tasks.Go(func() {
		_, err := from.do(t, ctx, http.MethodGet, lookups, nil)
		assert.Check(t, err != nil)
	})
	all := func(target.Run) bool { return true }
	eventually(t, "the request runs", func() bool { return len(m.runs(all)) == 1 })
	cancel()
	tasks.Wait()
	eventually(t, "the run is cancelled", func() bool { return m.runs(all)[0].Cancelled })
	assert.Equal(t, len(m.runs(all)), 1, "a cancelled call is not retried")
}

func TestDeadTargetIsNotRunAndRetriedElsewhere(t *testing.T) {
	m := newMesh(t, 2, config(nil), nil)
	dead := "127.0.0.1:1"
	m.nodes[1].address.Store(&dead)
	m.nodes[0].routeOnlyTo(m.nodes[1])
	got := m.nodes[0].get(t, lookups)
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.outcome(), string(call.NotRun))
	assert.Equal(t, got.step(), call.StepTarget)
	m.shareView()
	for range 20 {
		assert.Equal(t, m.nodes[0].get(t, lookups).status, http.StatusOK)
	}
}

func TestTruncatedResponseIsNeverComplete(t *testing.T) {
	for _, size := range []string{"1000", "1000000"} {
		t.Run(size, func(t *testing.T) {
			_, from, to := twoHops(t, config(withoutRetries), nil)
			to.setBehaviour(target.Behaviour{TruncateBody: true})
			got, err := from.do(t, t.Context(), http.MethodGet, lookups+"?size="+size, nil)
			if err != nil || got.bodyErr != nil {
				return
			}
			assert.Equal(t, got.status, http.StatusBadGateway)
			assert.Equal(t, got.outcome(), string(call.Unknown))
		})
	}
}

// A short response of known length that is truncated is reported as an error, and
// an idempotent call is retried on another target.
func TestTruncatedShortResponseIsRetried(t *testing.T) {
	truncating := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("half"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer truncating.Close()
	m := newMesh(t, 2, config(nil), nil)
	address := strings.TrimPrefix(truncating.URL, "http://")
	m.nodes[1].address.Store(&address)
	m.nodes[0].routeOnlyTo(m.nodes[1])
	got := m.nodes[0].get(t, lookups)
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.outcome(), string(call.Unknown))
	assert.Equal(t, got.step(), call.StepAnswer)
	m.shareView()
	for range 10 {
		assert.Equal(t, m.nodes[0].post(t, lookups, "whole").status, http.StatusOK)
	}
}

// Calls on a blackholed connection between daemons end by their deadline with the
// outcome unknown, and the connection is replaced.
func TestSilentConnectionIsReplaced(t *testing.T) {
	network := &blackholeNetwork{}
	m, from, _ := twoHops(t, config(withoutRetries), func(i int, o *call.Options) {
		if i == 0 {
			o.Dial = network.dial
		}
	})
	assert.Equal(t, from.get(t, lookups).status, http.StatusOK)
	assert.Equal(t, network.blackholeAll(), 1)
	got := from.get(t, lookups, call.HeaderDeadline, "100ms")
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Equal(t, got.outcome(), string(call.Unknown))
	assert.Equal(t, len(m.runsOf(got.id())), 0)
	assert.Equal(t, from.get(t, lookups).status, http.StatusOK)
	assert.Equal(t, network.dialCount(), 2)
}

func TestLargeBodiesBothWays(t *testing.T) {
	_, from, _ := twoHops(t, config(nil), nil)
	sent := make([]byte, 8<<20)
	_, _ = rand.Read(sent)
	for name, body := range map[string]io.Reader{
		"known length": bytes.NewReader(sent),
		"streamed":     io.MultiReader(bytes.NewReader(sent)),
	} {
		got, err := from.do(t, t.Context(), http.MethodPost, lookups, body)
		assert.NilError(t, err, name)
		assert.NilError(t, got.bodyErr, name)
		assert.Assert(t, bytes.Equal(got.body, sent), name)
		assert.Equal(t, got.trailer.Get(target.CallIDTrailer), got.id())
	}
}

// Parts of a streamed request are returned while the request is still being sent.
func TestStreamsGoBothWaysAtOnce(t *testing.T) {
	_, from, _ := twoHops(t, config(nil), nil)
	reader, writer := io.Pipe()
	request, err := http.NewRequest(http.MethodPost, from.callers.URL+"/"+lookups, reader)
	assert.NilError(t, err)
	var tasks conc.WaitGroup
	defer tasks.Wait()
	responses := make(chan *http.Response, 1)
	tasks.Go(func() {
		response, err := from.callers.Client().Do(request)
		assert.Check(t, err)
		responses <- response
	})
	_, err = writer.Write([]byte("first"))
	assert.NilError(t, err)
	response := <-responses
	defer response.Body.Close()
	for _, piece := range []string{"first", "second", "third"} {
		if piece != "first" {
			_, err = writer.Write([]byte(piece))
			assert.NilError(t, err)
		}
		got := make([]byte, len(piece))
		_, err = io.ReadFull(response.Body, got)
		assert.NilError(t, err)
		assert.Equal(t, string(got), piece)
	}
	assert.NilError(t, writer.Close())
	rest, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(rest), 0)
}

func TestTrailersOfRequestsReachTheTarget(t *testing.T) {
	_, from, to := twoHops(t, config(nil), nil)
	trailers := make(chan http.Header, 1)
	targetServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		trailers <- r.Trailer
		w.Header().Set(http.TrailerPrefix+"Late", "yes")
	}))
	defer targetServer.Close()
	address := strings.TrimPrefix(targetServer.URL, "http://")
	to.address.Store(&address)
	request, err := http.NewRequest(http.MethodPost, from.callers.URL+"/"+lookups, io.MultiReader(strings.NewReader("x")))
	assert.NilError(t, err)
	request.Trailer = http.Header{"Sum": {"123"}}
	response, err := from.callers.Client().Do(request)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, (<-trailers).Get("Sum"), "123")
}

// A caller that does not read its response holds the slot no longer than until its
// deadline.
func TestSlowReaderGetsFullResponseOrLosesItsSlot(t *testing.T) {
	m, from, _ := twoHops(t, config(withoutRetries), nil)
	open := func(deadline string) *http.Response {
		request, err := http.NewRequest(http.MethodGet, from.callers.URL+"/"+lookups+"?size=50000000", nil)
		assert.NilError(t, err)
		request.Header.Set(call.HeaderDeadline, deadline)
		response, err := from.callers.Client().Do(request)
		assert.NilError(t, err)
		return response
	}
	stuck := open("200ms")
	defer stuck.Body.Close()
	eventually(t, "the run ends", func() bool {
		runs := m.runsOf(stuck.Header.Get(call.HeaderCall))
		return len(runs) == 1 && runs[0].Cancelled
	})
	eventually(t, "the call ends", func() bool { return from.server.InProgress() == 0 })
	_, err := io.Copy(io.Discard, stuck.Body)
	assert.Assert(t, err != nil, "a truncated response must be an error")

	slow := open("20s")
	defer slow.Body.Close()
	total := 0
	block := make([]byte, 1<<20)
	for {
		n, err := slow.Body.Read(block)
		total += n
		if err == io.EOF {
			break
		}
		assert.NilError(t, err)
		time.Sleep(time.Microsecond)
	}
	assert.Equal(t, total, 50_000_000)
}

func TestDrainingTargetRefusesAsNotRun(t *testing.T) {
	m, from, to := twoHops(t, config(withoutRetries), nil)
	self := to.member
	self.TargetState = membership.Draining
	view := *to.dir.View()
	view.Self = self
	to.dir.view.Store(&view)
	got := from.get(t, lookups)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.outcome(), string(call.NotRun))
	assert.Equal(t, got.step(), call.StepDrain)
	assert.Equal(t, len(m.runsOf(got.id())), 0)
}

// A draining daemon completes the calls in progress, refuses requests for its
// target and forwards the calls of its own callers.
func TestDrainCompletesCallsAndForwardsNewOnes(t *testing.T) {
	m := newMesh(t, 2, config(withoutRetries), nil)
	stopping := m.nodes[0]
	began, hold := make(chan struct{}), make(chan struct{})
	finish := sync.OnceFunc(func() { close(hold) })
	targetServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(began)
		<-hold
		_, _ = io.WriteString(w, "finished")
	}))
	defer targetServer.Close()
	address := strings.TrimPrefix(targetServer.URL, "http://")
	stopping.address.Store(&address)
	stopping.routeOnlyTo(stopping)
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer finish()
	tasks.Go(func() {
		got, err := stopping.do(t, t.Context(), http.MethodGet, lookups, nil)
		assert.Check(t, err)
		assert.Check(t, string(got.body) == "finished")
	})
	<-began
	stopping.server.Drain()
	m.shareView()
	eventually(t, "the draining daemon refuses requests", func() bool {
		m.nodes[1].routeOnlyTo(stopping)
		got := m.nodes[1].get(t, lookups)
		return got.step() == call.StepDrain && got.outcome() == string(call.NotRun)
	})
	const calls = 20
	for range calls {
		assert.Equal(t, stopping.get(t, lookups).status, http.StatusOK)
	}
	assert.Equal(t, len(m.nodes[1].target.Runs()), calls)
	ended := make(chan error, 1)
	tasks.Go(func() { ended <- stopping.server.Shutdown(t.Context()) })
	eventually(t, "further calls are refused", func() bool {
		got := stopping.get(t, lookups)
		return got.step() == call.StepDrain && got.outcome() == string(call.NotRun)
	})
	select {
	case <-ended:
		t.Fatal("shut down while a call was in progress")
	default:
	}
	finish()
	assert.NilError(t, <-ended)
}

func TestShutdownEndsWithItsContext(t *testing.T) {
	m := newMesh(t, 1, config(nil), nil)
	n := m.nodes[0]
	n.setBehaviour(target.Behaviour{Hang: true})
	ctx, cancel := context.WithCancel(t.Context())
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel()
	tasks.Go(func() { _, _ = n.do(t, ctx, http.MethodGet, lookups, nil) })
	eventually(t, "the call is in progress", func() bool { return n.server.Load().Busy == 1 })
	ended, end := context.WithCancel(t.Context())
	end()
	err := n.server.Shutdown(ended)
	assert.ErrorContains(t, err, "1 calls in progress")
}

// A call is not reported as not-run if an earlier attempt may have run, even if a
// later one did not, and as unknown only if one may have run.
func TestOutcomeCoversAllAttempts(t *testing.T) {
	var reached sync.Map
	aborting := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		reached.Store(r.Header.Get(call.HeaderCall), true)
		panic(http.ErrAbortHandler)
	}))
	defer aborting.Close()
	m := newMesh(t, 2, config(nil), nil)
	address := strings.TrimPrefix(aborting.URL, "http://")
	m.nodes[0].address.Store(&address)
	dead := "127.0.0.1:1"
	m.nodes[1].address.Store(&dead)
	both := 0
	for range 20 {
		got, err := m.nodes[0].do(t, t.Context(), http.MethodPost, lookups, strings.NewReader(""))
		assert.NilError(t, err)
		if len(m.nodes[0].events.of(timeline.Sent, got.id())) < 2 {
			continue
		}
		if _, mayHaveRun := reached.Load(got.id()); !mayHaveRun {
			assert.Equal(t, got.outcome(), string(call.NotRun))
			continue
		}
		both++
		assert.Equal(t, got.outcome(), string(call.Unknown))
	}
	assert.Assert(t, both > 0)
}

// A call with a key is not retried once it may have run.
func TestKeyedCallIsNotRetriedAfterUnknown(t *testing.T) {
	m := newMesh(t, 1, config(nil), nil)
	m.nodes[0].setBehaviour(target.Behaviour{TruncateBody: true})
	key := newKey(t)
	got := m.nodes[0].post(t, orders, "order", call.HeaderKey, key)
	assert.Equal(t, got.outcome(), string(call.Unknown))
	assert.Equal(t, len(m.nodes[0].events.of(timeline.Sent, got.id())), 1)
	assert.Equal(t, len(m.runsOfKey(key)), 1)
}

// After a response that began before its request ended, the rest of the request is
// never parsed as the next request.
func TestUnreadBodyIsNotParsedAsNextRequest(t *testing.T) {
	early := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		control := http.NewResponseController(w)
		_ = control.EnableFullDuplex()
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, "early")
		_ = control.Flush()
	}))
	defer early.Close()
	m, from, to := twoHops(t, config(withoutRetries), nil)
	address := strings.TrimPrefix(early.URL, "http://")
	to.address.Store(&address)
	conn, err := net.Dial("tcp", from.callers.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /"+lookups+" HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "early")
	_, _ = io.WriteString(conn, "GET /"+lookups+" HTTP/1.1\r\nHost: x\r\n\r\n")
	_, err = http.ReadResponse(reader, nil)
	assert.Assert(t, err != nil, "the connection must be closed")
	assert.Equal(t, len(m.runs(func(target.Run) bool { return true })), 0)
}

// A response or an error that belongs to another request is not forwarded.
func TestMismatchedResponseIsNotForwarded(t *testing.T) {
	headers := map[string]string{}
	mismatching := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(call.HeaderCall, r.Header.Get(call.HeaderCall))
		w.Header().Set(call.HeaderPeer, "b")
		for name, value := range headers {
			w.Header().Set(name, value)
		}
		_, _ = io.WriteString(w, "another's")
	}))
	defer mismatching.Close()
	_, from, to := twoHops(t, config(withoutRetries), nil)
	to.member.CallsAddress = strings.TrimPrefix(mismatching.URL, "http://")
	from.routeOnlyTo(to)
	assert.Equal(t, string(from.get(t, lookups).body), "another's")
	for _, one := range []map[string]string{
		{call.HeaderCall: newKey(t)},
		{call.HeaderCall: newKey(t), call.HeaderOutcome: string(call.NotRun)},
		{call.HeaderPeer: "c"},
		{call.HeaderPeer: "c", call.HeaderOutcome: string(call.NotRun)},
	} {
		headers = one
		got := from.get(t, lookups)
		assert.Equal(t, got.status, http.StatusBadGateway)
		assert.Equal(t, got.outcome(), string(call.Unknown))
		assert.Equal(t, got.step(), call.StepAnswer)
	}
}

// When several idle connections to a daemon were blackholed, one call is lost, not one
// for each of them.
func TestSilentConnectionsCostOneCall(t *testing.T) {
	const connections = 4
	network := &blackholeNetwork{}
	_, from, to := twoHops(t, config(withoutRetries), func(i int, o *call.Options) {
		if i == 0 {
			o.Dial = network.dial
		}
	})
	hold := make(chan struct{})
	targetServer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hold }))
	defer targetServer.Close()
	address := strings.TrimPrefix(targetServer.URL, "http://")
	to.address.Store(&address)
	var tasks conc.WaitGroup
	for range connections {
		tasks.Go(func() { assert.Check(t, from.get(t, lookups).status == http.StatusOK) })
	}
	eventually(t, "all calls are in progress", func() bool { return to.server.Load().Busy == connections })
	close(hold)
	tasks.Wait()
	assert.Equal(t, network.blackholeAll(), connections)
	got := from.get(t, lookups, call.HeaderDeadline, "1s")
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Equal(t, got.outcome(), string(call.Unknown))
	for range 2 * connections {
		assert.Equal(t, from.get(t, lookups).status, http.StatusOK)
	}
}
