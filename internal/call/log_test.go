package call_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/standin/target"
)

// floodLines is more lines than the rate limit of a process admits at once, and more
// than the queue of an AsyncWriter holds.
const floodLines = 5000

// lockedBuffer is a buffer that several daemons write to.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// lines returns the lines that contain all texts.
func (b *lockedBuffer) lines(texts ...string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []string
	for line := range strings.Lines(b.text.String()) {
		missing := false
		for _, text := range texts {
			missing = missing || !strings.Contains(line, text)
		}
		if !missing {
			found = append(found, line)
		}
	}
	return found
}

// TestFailedCallIsLoggedAfterFloodOfOtherLines guards against lines of other kinds
// that use up the rate limit of the lines that tell why a call failed.
func TestFailedCallIsLoggedAfterFloodOfOtherLines(t *testing.T) {
	out := &lockedBuffer{}
	logger, err := logging.New(out, "debug")
	assert.NilError(t, err)
	m := newMesh(t, 1, config(withoutRetries), func(_ int, o *call.Options) { o.Logger = logger })
	for range floodLines {
		logging.ForComponent(logger, "membership").Info("host suspected")
	}
	unreachable := "127.0.0.1:1"
	m.nodes[0].address.Store(&unreachable)
	got := m.nodes[0].get(t, lookups)
	assert.Equal(t, got.status, http.StatusBadGateway)
	id := "call=" + got.header.Get(call.HeaderCall)
	assert.Equal(t, len(out.lines("attempt failed", id, "again=false")), 1)
	assert.Equal(t, len(out.lines("call failed", id)), 1)
}

// meshLogs are the logs of the daemons of a mesh.
type meshLogs map[string]*lockedBuffer

// capture makes a daemon log to its buffer at the default level.
func (l meshLogs) capture(t *testing.T) func(int, *call.Options) {
	return func(_ int, o *call.Options) {
		l[o.Self.Host] = &lockedBuffer{}
		logger, err := logging.New(l[o.Self.Host], "info")
		assert.NilError(t, err)
		o.Logger = logger
	}
}

// stopLogMesh is a mesh of two daemons of which the second one stops.
type stopLogMesh struct {
	*mesh
	logs           meshLogs
	from, stopping *node
	began          time.Time
}

func newStopLogMesh(t *testing.T) stopLogMesh {
	logs := make(meshLogs)
	m := newMesh(t, 2, config(oneSlot), logs.capture(t))
	began := time.Date(2026, 12, 4, 9, 30, 0, 250_000_000, time.UTC)
	m.nodes[0].routeOnlyTo(m.nodes[1])
	m.nodes[1].routeOnlyTo(m.nodes[1])
	m.nodes[1].server.BeginStop(began)
	return stopLogMesh{mesh: m, logs: logs, from: m.nodes[0], stopping: m.nodes[1], began: began}
}

// assertCause checks that a daemon has one line about a call with a message and with
// the phase of the stop.
func (m stopLogMesh) assertCause(t *testing.T, daemon *node, message, id, phase string) {
	t.Helper()
	cause := fmt.Sprintf("(phase %s of the stop %s)", phase, call.FormatStop(m.began))
	log := m.logs[daemon.name]
	assert.Equal(t, len(log.lines(message, "call="+id, cause)), 1, "%s: %v", message, log.lines(id))
}

func TestRefusalInDrainIsLoggedOnBothDaemons(t *testing.T) {
	m := newStopLogMesh(t)
	m.stopping.server.Drain()
	got := m.from.get(t, lookups)
	assert.Equal(t, got.step(), call.StepDrain)
	m.assertCause(t, m.stopping, "request refused", got.id(), "drain")
	m.assertCause(t, m.from, "attempt failed", got.id(), "drain")
	m.assertCause(t, m.from, "call failed", got.id(), "drain")
}

func TestRefusalInShutdownIsLogged(t *testing.T) {
	m := newStopLogMesh(t)
	assert.NilError(t, m.stopping.server.Shutdown(t.Context()))
	got := m.stopping.get(t, lookups)
	assert.Equal(t, got.step(), call.StepDrain)
	m.assertCause(t, m.stopping, "call failed", got.id(), "shutdown")
}

// TestAbortIsLoggedOnBothDaemons stops a daemon with a running and a queued request of
// another daemon.
func TestAbortIsLoggedOnBothDaemons(t *testing.T) {
	m := newStopLogMesh(t)
	m.stopping.setBehaviour(target.Behaviour{Hang: true})
	results := make(chan result, 2)
	var tasks conc.WaitGroup
	send := func() {
		got, err := m.from.do(t, t.Context(), http.MethodGet, lookups, nil)
		assert.Check(t, err)
		results <- got
	}
	tasks.Go(send)
	eventually(t, "a call runs", func() bool { return len(m.stopping.target.Runs()) == 1 })
	tasks.Go(send)
	eventually(t, "a call is queued", func() bool { return m.stopping.server.Load().Queued == 1 })
	m.stopping.server.Drain()
	queued := <-results
	eventually(t, "one call is left", func() bool { return m.stopping.server.InProgress() == 1 })
	assert.ErrorContains(t, m.stopping.server.Shutdown(expired(t)), "1 calls in progress")
	assert.NilError(t, m.stopping.server.Abort(t.Context()))
	tasks.Wait()
	running := <-results
	assert.Equal(t, queued.outcome(), string(call.NotRun))
	assert.Equal(t, running.outcome(), string(call.Unknown))
	m.assertCause(t, m.stopping, "request refused", queued.id(), "drain")
	m.assertCause(t, m.stopping, "request failed", running.id(), "abort")
	for id, phase := range map[string]string{queued.id(): "drain", running.id(): "abort"} {
		m.assertCause(t, m.from, "attempt failed", id, phase)
		m.assertCause(t, m.from, "call failed", id, phase)
	}
}

// TestErrorResponseOfTargetIsLogged guards against calls that fail with the response
// of a target and leave no line at the default level.
func TestErrorResponseOfTargetIsLogged(t *testing.T) {
	logs := make(meshLogs)
	m := newMesh(t, 2, config(withoutRetries), logs.capture(t))
	from, to := m.nodes[0], m.nodes[1]
	from.routeOnlyTo(to)
	assert.Equal(t, from.get(t, lookups).status, http.StatusOK)
	to.setBehaviour(target.Behaviour{Fail: true})
	got := from.get(t, lookups)
	assert.Equal(t, got.status, http.StatusInternalServerError)
	status := "status=500"
	assert.Equal(t, len(logs[from.name].lines("call answered", "call="+got.id(), status, "host="+to.name)), 1)
	assert.Equal(t, len(logs[to.name].lines("request ran", "call="+got.id(), status)), 1)
	assert.Equal(t, len(logs[from.name].lines("call="))+len(logs[to.name].lines("call=")), 2)
}

// blockedOutput blocks every write until unblocked is closed. blocked is closed by the
// first one.
type blockedOutput struct {
	lockedBuffer
	once               sync.Once
	blocked, unblocked chan struct{}
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	o.once.Do(func() { close(o.blocked) })
	<-o.unblocked
	return o.lockedBuffer.Write(p)
}

// TestBlockedOutputDelaysNoCall guards against calls that wait for the reader of
// standard output. The output is blocked until the last call has its response, and the
// queue of lines is full before the first one.
func TestBlockedOutputDelaysNoCall(t *testing.T) {
	const callers, callsPerCaller = 8, 100
	out := &blockedOutput{blocked: make(chan struct{}), unblocked: make(chan struct{})}
	writer := logging.NewAsyncWriter(out)
	logger, err := logging.New(writer, "debug")
	assert.NilError(t, err)
	manySlots := func(service *publish.Service, _ *publish.Route) { service.Slots = callers }
	m := newMesh(t, 2, config(manySlots), func(_ int, o *call.Options) { o.Logger = logger })
	m.nodes[0].routeOnlyTo(m.nodes[1])
	for number := range floodLines {
		_, err := writer.Write([]byte("a line\n"))
		assert.NilError(t, err)
		if number == 0 {
			<-out.blocked
		}
	}
	before := logging.DroppedLines()
	var tasks conc.WaitGroup
	for range callers {
		tasks.Go(func() {
			for range callsPerCaller {
				served, err := m.nodes[0].do(t, t.Context(), http.MethodGet, lookups, nil)
				assert.Check(t, err)
				assert.Check(t, served.status == http.StatusOK, "status %d", served.status)
				failed, err := m.nodes[0].do(t, t.Context(), http.MethodGet, "no/route", nil)
				assert.Check(t, err)
				assert.Check(t, failed.status == http.StatusNotFound, "status %d", failed.status)
			}
		})
	}
	tasks.Wait()
	// Three lines for each pair of calls: the answer, the run and the failure.
	const lines = 3 * callers * callsPerCaller
	assert.Equal(t, int(logging.DroppedLines()-before), lines)
	assert.Equal(t, len(out.lines("")), 0)
	close(out.unblocked)
	eventually(t, "the log tells of the drop", func() bool { return len(out.lines("lines were dropped")) == 1 })
	writer.Close()
}

// TestReasonForNoRetryIsLogged guards against failed calls of which nobody can tell why
// they were not attempted again.
func TestReasonForNoRetryIsLogged(t *testing.T) {
	withoutBudget := func(_ *publish.Service, route *publish.Route) { route.RetryBudget = 0 }
	for _, c := range []struct {
		name, path, reason string
		change             func(*publish.Service, *publish.Route)
		header             []string
	}{
		{"not idempotent", orders, "not idempotent, or status not to be retried", nil, []string{call.HeaderKey, newKey(t)}},
		{"no retries", lookups, "no retries left", withoutRetries, nil},
		{"no budget", lookups, "retry budget used up", withoutBudget, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			logs := make(meshLogs)
			m := newMesh(t, 1, config(c.change), logs.capture(t))
			m.nodes[0].setBehaviour(target.Behaviour{TruncateBody: true})
			if c.path == lookups {
				unreachable := "127.0.0.1:1"
				m.nodes[0].address.Store(&unreachable)
			}
			got, err := m.nodes[0].do(t, t.Context(), http.MethodPost, c.path, nil, c.header...)
			assert.NilError(t, err)
			assert.Equal(t, got.status, http.StatusBadGateway)
			lines := logs["a"].lines("attempt failed", "call="+got.id(), "again=false", c.reason)
			assert.Equal(t, len(lines), 1, "%v", logs["a"].lines(got.id()))
		})
	}
}

// TestAttemptWithoutHostIsLogged guards against calls that end although their last line
// says that another attempt follows.
func TestAttemptWithoutHostIsLogged(t *testing.T) {
	logs := make(meshLogs)
	m := newMesh(t, 1, config(nil), logs.capture(t))
	unreachable := "127.0.0.1:1"
	m.nodes[0].address.Store(&unreachable)
	got := m.nodes[0].get(t, lookups)
	assert.Equal(t, got.status, http.StatusBadGateway)
	id := "call=" + got.id()
	assert.Equal(t, len(logs["a"].lines("attempt failed", id, "attempt=1", "again=true")), 1)
	assert.Equal(t, len(logs["a"].lines("attempt not made", id, "attempt=2", "1 hosts excluded")), 1)
}
