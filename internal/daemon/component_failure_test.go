package daemon_test

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/examples"
	"github.com/mulberrybank/mulberrybank/internal/daemon"
	"github.com/mulberrybank/mulberrybank/internal/inprocess"
	"github.com/mulberrybank/mulberrybank/internal/settings"
	"github.com/mulberrybank/mulberrybank/internal/standin/target"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

const (
	statusPath   = "/railway/status/heaters/17"
	serviceTime  = 500 * time.Millisecond
	testTimeout  = 60 * time.Second
	pollInterval = 10 * time.Millisecond
)

// hostSpecs describe two hosts that run the same service.
var hostSpecs = []inprocess.HostSpec{
	{Host: "accra-1", Zone: "greater-accra-a", Region: "greater-accra", Service: "railway/heater-status"},
	{Host: "accra-2", Zone: "greater-accra-a", Region: "greater-accra", Service: "railway/heater-status"},
}

// mesh is a mesh whose first host is stopped by the test.
type mesh struct {
	*inprocess.Mesh
	t   *testing.T
	ctx context.Context
}

// startMesh starts two hosts with an active configuration and ready targets.
func startMesh(t *testing.T) *mesh {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	started, err := inprocess.Start(ctx, hostSpecs)
	assert.NilError(t, err)
	t.Cleanup(started.Stop)
	source, err := examples.Load("railway")
	assert.NilError(t, err)
	verdict, err := started.Publish(ctx, 0, inprocess.PublishRequest{Author: "test", Next: source})
	assert.NilError(t, err)
	assert.NilError(t, started.AwaitOffset(ctx, verdict.Version))
	assert.NilError(t, started.AwaitReadyTargets(ctx))
	return &mesh{Mesh: started, t: t, ctx: ctx}
}

// startCall sends a request through the first host and returns, once it runs, a
// function that asserts that it gets its response.
func (m *mesh) startCall() (assertServed func()) {
	m.t.Helper()
	for _, host := range m.Hosts {
		slow := target.Behaviour{State: target.StateReady, Delay: settings.Duration(serviceTime)}
		assert.NilError(m.t, host.Target.SetBehaviour(slow))
	}
	var response inprocess.Response
	var err error
	var call conc.WaitGroup
	call.Go(func() { response, err = m.Call(m.ctx, 0, statusPath, "") })
	m.await("the call runs", func() bool {
		return len(m.Hosts[0].Target.Runs())+len(m.Hosts[1].Target.Runs()) > 0
	})
	return func() {
		call.Wait()
		assert.Check(m.t, err)
		assert.Check(m.t, response.Status == http.StatusOK, "%s", response)
	}
}

// await waits until a condition holds.
func (m *mesh) await(what string, holds func() bool) {
	m.t.Helper()
	for !holds() {
		assert.Assert(m.t, wait.For(m.ctx, pollInterval), "waiting until %s", what)
	}
}

// stateOfFirstHost returns the state that the second host has of the first.
func (m *mesh) stateOfFirstHost() string {
	members, err := m.Admin(1).Members(m.ctx)
	assert.NilError(m.t, err)
	for _, member := range members.Members {
		if member.Host == m.Hosts[0].Spec.Host {
			return member.State
		}
	}
	return ""
}

func TestListenerFailureStopsDaemonGracefully(t *testing.T) {
	for _, listener := range []string{
		daemon.CallersListener, daemon.CallsListener, daemon.ControlListener, daemon.AdminListener, daemon.TargetListener,
	} {
		t.Run(listener, func(t *testing.T) {
			m := startMesh(t)
			assertServed := m.startCall()
			assert.NilError(t, m.Hosts[0].Daemon.FailListener(listener))
			assertServed()
			assert.ErrorIs(t, m.Hosts[0].AwaitDaemon(), syscall.EINVAL)
			m.await("the other host knows of the leave", func() bool { return m.stateOfFirstHost() == "left" })
		})
	}
}

func TestListenerFailureDuringStopDoesNotBreakItOff(t *testing.T) {
	m := startMesh(t)
	assertServed := m.startCall()
	m.Hosts[0].BeginStop()
	m.await("the stop begins", func() bool { return !m.Hosts[0].Daemon.Ready() })
	assert.NilError(t, m.Hosts[0].Daemon.FailListener(daemon.AdminListener))
	assertServed()
	assert.ErrorIs(t, m.Hosts[0].AwaitDaemon(), syscall.EINVAL)
	m.await("the other host knows of the leave", func() bool { return m.stateOfFirstHost() == "left" })
}
