package once_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/once"
)

// drawView draws a view of a few services with targets in different states.
func drawView(t *rapid.T) *membership.View {
	view := &membership.View{}
	for _, name := range []string{"huts/ledger", "huts/registry", "heaters/ledger"} {
		for _, host := range []string{"c", "a", "b"} {
			view.ByService = view.ByService.With(name, append(view.ByService.At(name), membership.Member{
				Host:         host,
				State:        membership.Alive,
				TargetState:  rapid.SampledFrom([]membership.TargetState{membership.Ready, membership.Draining}).Draw(t, "state"),
				Reachability: rapid.SampledFrom([]membership.Reachability{membership.Reachable, membership.Unreachable}).Draw(t, "reach"),
			}))
		}
	}
	return view
}

// Delta-encoded chains expand to the full grants that they were computed from.
func TestDeltasExpandToFullGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		var chain once.Grants
		for range 10 {
			now = now.Add(rapid.SampledFrom([]time.Duration{once.GrantRetention, once.DefaultHorizon, time.Hour}).Draw(t, "span"))
			view := drawView(t)
			full := once.NextGrant(nil, view, now, once.DefaultHorizon)
			delta := once.NextGrant(chain, view, now, once.DefaultHorizon)
			next, added := chain.Add(delta, now)
			assert.Assert(t, added)
			chain = next
			last := chain[len(chain)-1]
			assert.Assert(t, cmp.Equal(last.GetServices(), full.GetServices(), protocmp.Transform()))
			expanded, ok := once.Expand(chain.Compact())
			assert.Assert(t, ok)
			assert.Assert(t, cmp.Equal(expanded, chain, protocmp.Transform()))
		}
		assert.Assert(t, len(chain) < 10)
	})
}

func TestGrantsThatDoNotExtendTheChainAreIgnored(t *testing.T) {
	minute := func(n int) time.Time { return epoch.Add(time.Duration(n) * time.Minute) }
	chain := once.Grants{grant(minute(0), minute(10), "a")}
	unsorted := grant(minute(10), minute(20), "b", "a")
	late := grant(minute(11), minute(20), "a")
	late.Changes = true
	for name, test := range map[string]struct {
		grant *once.Grant
		want  bool
	}{
		"next":              {grant(minute(10), minute(20), "a"), true},
		"gap":               {grant(minute(11), minute(20), "a"), true},
		"overlap":           {grant(minute(9), minute(20), "a"), false},
		"empty":             {grant(minute(10), minute(10), "a"), false},
		"far ahead":         {grant(minute(10), minute(61), "a"), false},
		"unsorted":          {unsorted, false},
		"changes after gap": {late, false},
	} {
		_, added := chain.Add(test.grant, epoch)
		assert.Equal(t, added, test.want, name)
	}
	_, added := once.Grants(nil).Add(&once.Grant{FromMs: 1, UntilMs: 2, Changes: true}, epoch)
	assert.Assert(t, !added)
}

func TestUnreachableHostsAreHomesWhenNoneIsReachable(t *testing.T) {
	member := func(host string, reachability membership.Reachability) membership.Member {
		return membership.Member{Host: host, State: membership.Alive, TargetState: membership.Ready, Reachability: reachability}
	}
	view := &membership.View{ByService: membership.NewMap(map[string][]membership.Member{
		"a/cut":  {member("x", membership.Unreachable), member("y", membership.Unreachable)},
		"b/part": {member("x", membership.Unreachable), member("y", membership.Suspect)},
	})}
	services := once.NextGrant(nil, view, epoch, once.DefaultHorizon).GetServices()
	assert.DeepEqual(t, services[0].GetHosts(), []string{"x", "y"})
	assert.DeepEqual(t, services[1].GetHosts(), []string{"y"})
}
