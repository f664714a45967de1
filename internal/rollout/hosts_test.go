package rollout

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	_ "github.com/mulberrybank/mulberrybank/internal/testseed"
)

// TestHostIndexFollowsTheView guards against a home, a watcher or a reach that differs from what the
// whole view gives, after changes that update a part of it.
func TestHostIndexFollowsTheView(t *testing.T) {
	order := publish.Rollout{Service: pickedService, Version: "v2"}
	rapid.Check(t, func(t *rapid.T) {
		view := &membership.View{Self: membership.Member{Host: "self"}}
		index := hostIndex{order: order}
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			next := *view
			host := fmt.Sprintf("host-%d", rapid.IntRange(0, 30).Draw(t, "host"))
			if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
				next.Members = view.Members.Without(host)
			} else {
				next.Members = view.Members.With(host, membership.Member{
					Host:          host,
					State:         rapid.SampledFrom([]membership.State{membership.Alive, membership.Alive, membership.Left}).Draw(t, "state"),
					Reachability:  rapid.SampledFrom([]membership.Reachability{membership.Reachable, membership.Unreachable}).Draw(t, "reach"),
					Service:       rapid.SampledFrom([]string{pickedService, "mesh/other"}).Draw(t, "service"),
					TargetState:   membership.Ready,
					TargetVersion: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"),
				})
			}
			targets, hosts, homes, known := scanView(&next, order)
			next.ByService = membership.NewMap(map[string][]membership.Member{order.Service: targets})
			view = &next
			if rapid.IntRange(0, 3).Draw(t, "skip") == 0 {
				continue
			}
			home, reach := index.at(view)
			want := "self"
			if len(homes) > 0 {
				want = firstByHash(homes, order.Service)
			}
			watcher, _ := index.watcherAt(view)
			assert.Equal(t, watcher.Host, firstByHash(slices.DeleteFunc(homes, func(host string) bool { return host == want }), order.Service))
			slices.Sort(hosts)
			counts := countVersions(targets, order.Version)
			assert.Equal(t, home.Host, want)
			assert.DeepEqual(t, slices.Sorted(reach.all()), hosts)
			assert.Equal(t, reach.Reached, len(hosts))
			assert.Equal(t, reach.Known, known)
			assert.Equal(t, reach.OldTargets, counts.old)
			assert.Equal(t, reach.NewTargets, counts.new)
		}
	})
}

// scanView returns what the index must hold for an order, from all members of a view.
func scanView(view *membership.View, order publish.Rollout) (targets []membership.Member, hosts, homes []string, known int) {
	for name, member := range view.Members.All() {
		isNew := member.Service == order.Service && member.TargetVersion == order.Version
		if member.State == membership.Alive {
			known++
		}
		if isAlive(&member) {
			hosts = append(hosts, name)
		}
		if isAlive(&member) && !isNew {
			homes = append(homes, name)
		}
		if member.Service == order.Service {
			targets = append(targets, member)
		}
	}
	return targets, hosts, homes, known
}
