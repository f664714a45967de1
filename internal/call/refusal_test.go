package call_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/once"
)

// TestRefusedKeyReportsEarlierRequests checks what a caller learns about a refused
// key through the home and through another daemon. It must not conclude that a key
// that ran never did.
func TestRefusedKeyReportsEarlierRequests(t *testing.T) {
	cases := []struct {
		reason  once.Reason
		outcome call.Outcome
		earlier string
	}{
		{once.AlreadyRan, call.Unknown, ""},
		{once.InProgress, call.Unknown, ""},
		{once.BeforeStart, call.NotRun, call.EarlierMayHaveRun},
		{once.NotHome, call.NotRun, call.EarlierMayHaveRun},
		{once.ExpiredKey, call.NotRun, call.EarlierMayHaveRun},
	}
	m := newMesh(t, 2, config(nil), nil)
	for _, c := range cases {
		m.nodes[0].keys.refusal = &once.Refusal{Reason: c.reason, EarlierMayHaveRun: true}
		for _, through := range m.nodes {
			key := newKey(t)
			got := through.post(t, orders+"/heaters", "order", call.HeaderKey, key)
			assert.Equal(t, got.status, http.StatusConflict, c.reason)
			assert.Equal(t, got.outcome(), string(c.outcome), c.reason)
			assert.Equal(t, got.header.Get(call.HeaderEarlier), c.earlier, c.reason)
			assert.Equal(t, len(m.runsOfKey(key)), 0)
		}
	}
}

// TestHostThatTookOverAnAddressRefuses sends calls to a host whose address another
// host has taken over: none runs there by mistake, and each is answered by another
// host, even if it may not be repeated.
func TestHostThatTookOverAnAddressRefuses(t *testing.T) {
	const calls = 20
	m := newMesh(t, 3, config(nil), nil)
	caller, replaced, successor := m.nodes[0], m.nodes[1], m.nodes[2]
	caller.member.TargetState = membership.Draining
	replaced.member.CallsAddress = successor.member.CallsAddress
	m.shareView()
	for range calls {
		got := caller.get(t, lookups+"/heaters")
		assert.Equal(t, got.status, http.StatusOK)
	}
	assert.Equal(t, len(replaced.target.Runs()), 0)
	assert.Equal(t, len(successor.target.Runs()), calls)

	caller.routeOnlyTo(replaced)
	got := caller.get(t, lookups+"/heaters")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.outcome(), string(call.NotRun))
	assert.Equal(t, got.step(), call.StepHost)
}

func TestUnknownOutcomeHasNoStatusOfNotRun(t *testing.T) {
	combined := call.CombineErrors(&call.Error{Outcome: call.NotRun, Step: call.StepDrain, Status: http.StatusServiceUnavailable})
	assert.Equal(t, combined.Outcome, call.Unknown)
	assert.Equal(t, combined.Status, http.StatusBadGateway)
}
