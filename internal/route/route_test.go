package route_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/route"
	_ "github.com/mulberrybank/mulberrybank/internal/testseed"
)

const slots = 6

var service = &publish.Service{Name: "huts/registry", Slots: slots, SlowStart: 10 * time.Second}

type directory struct{ members []membership.Member }

func (d *directory) Changed() <-chan struct{} { return nil }

func (d *directory) View() *membership.View {
	return &membership.View{ByService: map[string][]membership.Member{service.Name: d.members}}
}

// ready returns a host that takes calls.
func ready(host, zone string) membership.Member {
	return membership.Member{
		Host: host, Zone: zone, State: membership.Alive, Service: service.Name,
		Slots: slots, TargetState: membership.Ready,
	}
}

// clock is a time that a test moves.
type clock struct{ time time.Time }

func (c *clock) now() time.Time { return c.time }

func newRouter(d *directory, seed uint64) (*route.Router, *clock) {
	c := &clock{time: time.Unix(1_800_000_000, 0)}
	return route.New(route.Options{
		Directory: d,
		Self:      peer.Identity{Host: "self", Zone: "zone-0"},
		Now:       c.now,
		Rand:      rand.New(rand.NewPCG(seed, seed)),
	}), c
}

// fail makes a router see a host fail so often that it is ejected.
func fail(r *route.Router, host string, times int) {
	for range times {
		r.Begin(host)
		r.Done(host, route.Result{Outcome: route.Failure})
	}
}

func drawMember(t *rapid.T, i int) membership.Member {
	member := ready(fmt.Sprintf("host-%d", i), rapid.SampledFrom([]string{"zone-0", "zone-1"}).Draw(t, "zone"))
	member.State = rapid.SampledFrom([]membership.State{membership.Alive, membership.Alive, membership.Leaving, membership.Left}).Draw(t, "state")
	member.TargetState = rapid.SampledFrom([]membership.TargetState{membership.NoTarget, membership.Cold, membership.Ready, membership.Draining}).Draw(t, "target")
	member.Reachability = rapid.SampledFrom([]membership.Reachability{membership.Reachable, membership.Suspect, membership.Unreachable}).Draw(t, "reach")
	return member
}

func takesWork(member membership.Member) bool {
	return member.State == membership.Alive && (member.TargetState == membership.Cold || member.TargetState == membership.Ready)
}

// A pick is never a host that takes no work or is excluded, and is out of
// contact only when nothing in contact is left.
func TestPickTakesOnlyThoseThatMay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &directory{}
		exclude := map[string]bool{}
		usable, inContact := 0, 0
		for i := range rapid.IntRange(0, 8).Draw(t, "hosts") {
			member := drawMember(t, i)
			d.members = append(d.members, member)
			exclude[member.Host] = rapid.Bool().Draw(t, "exclude")
			if takesWork(member) && !exclude[member.Host] {
				usable++
				if member.Reachability == membership.Reachable {
					inContact++
				}
			}
		}
		r, _ := newRouter(d, rapid.Uint64().Draw(t, "seed"))
		for _, member := range d.members {
			fail(r, member.Host, rapid.IntRange(0, 4).Draw(t, "failures"))
		}
		for range 20 {
			picked, err := r.Pick(service, exclude)
			if usable == 0 {
				assert.Assert(t, errors.Is(err, route.ErrNoTarget))
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, takesWork(picked), "%+v", picked)
			assert.Assert(t, !exclude[picked.Host])
			assert.Assert(t, inContact == 0 || picked.Reachability == membership.Reachable, "%+v", picked)
		}
	})
}

// Ejected targets get no calls, but when more than half are ejected the
// evidence is distrusted and all get calls.
func TestEjectionHasAFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 8).Draw(t, "hosts")
		bad := rapid.IntRange(0, count).Draw(t, "bad")
		d := &directory{}
		for i := range count {
			d.members = append(d.members, ready(fmt.Sprintf("host-%d", i), "zone-0"))
		}
		r, _ := newRouter(d, rapid.Uint64().Draw(t, "seed"))
		for i := range bad {
			fail(r, fmt.Sprintf("host-%d", i), 4)
		}
		picked := map[string]bool{}
		for range 100 * count {
			member, err := r.Pick(service, nil)
			assert.NilError(t, err)
			picked[member.Host] = true
		}
		want := count - bad
		if 2*bad > count {
			want = count
		}
		assert.Equal(t, len(picked), want)
	})
}

func TestEjectionEnds(t *testing.T) {
	d := &directory{members: []membership.Member{ready("a", "zone-0"), ready("b", "zone-0")}}
	r, c := newRouter(d, 1)
	fail(r, "a", 3)
	count := func() (picks int) {
		for range 100 {
			member, err := r.Pick(service, nil)
			assert.NilError(t, err)
			if member.Host == "a" {
				picks++
			}
		}
		return picks
	}
	assert.Equal(t, count(), 0)
	c.time = c.time.Add(3 * time.Second)
	assert.Assert(t, count() > 0)
}

func TestOwnZoneFirstThenSpill(t *testing.T) {
	d := &directory{members: []membership.Member{ready("near", "zone-0"), ready("far", "zone-1")}}
	r, _ := newRouter(d, 1)
	for i := range 2 * slots {
		member, err := r.Pick(service, nil)
		assert.NilError(t, err)
		if i < slots-1 {
			assert.Equal(t, member.Host, "near", "call %d", i)
		}
		if i == slots {
			assert.Equal(t, member.Host, "far")
		}
		r.Begin(member.Host)
	}
}

// The load that comes with an answer moves calls away from a target that
// others keep busy, until the report is old.
func TestReportedLoadCounts(t *testing.T) {
	d := &directory{members: []membership.Member{ready("a", "zone-0"), ready("b", "zone-0")}}
	r, c := newRouter(d, 1)
	r.Begin("a")
	r.Done("a", route.Result{Outcome: route.Success, Load: &route.Load{Busy: slots, Slots: slots, Queued: 3}})
	share := func() float64 {
		picks := 0
		for range 1000 {
			member, err := r.Pick(service, nil)
			assert.NilError(t, err)
			if member.Host == "a" {
				picks++
			}
		}
		return float64(picks) / 1000
	}
	busy := share()
	assert.Assert(t, busy < 0.3, "%v", busy)
	c.time = c.time.Add(time.Minute)
	r.Begin("b")
	assert.Assert(t, share() > 0.6)
}

// A cold target's share of calls grows while it warms up.
func TestSlowStart(t *testing.T) {
	cold := ready("a", "zone-0")
	cold.TargetState = membership.Cold
	d := &directory{members: []membership.Member{cold, ready("b", "zone-0"), ready("c", "zone-0")}}
	r, c := newRouter(d, 1)
	d.members[0].TargetStateSince = c.time
	share := func() (picks int) {
		for range 3000 {
			member, err := r.Pick(service, nil)
			assert.NilError(t, err)
			if member.Host == "a" {
				picks++
			}
		}
		return picks
	}
	early := share()
	c.time = c.time.Add(5 * time.Second)
	later := share()
	c.time = c.time.Add(5 * time.Second)
	full := share()
	assert.Assert(t, 2*early < later && later < full, "%d %d %d", early, later, full)
}

func TestParseLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.IntRange(0, 1000)
		load := route.Load{Busy: value.Draw(t, "busy"), Slots: value.Draw(t, "slots"), Queued: value.Draw(t, "queued")}
		parsed, err := route.ParseLoad(load.String())
		assert.NilError(t, err)
		assert.Equal(t, parsed, load)
	})
	for _, text := range []string{"", "1/2", "1/2/3/4", "1/2/3 ", "-1/2/3", "1/2/99999999", "a/b/c"} {
		_, err := route.ParseLoad(text)
		assert.Check(t, err != nil, text)
	}
}

// A host that refused work as leaving is passed over at once, until the
// directory has newer word of it.
func TestLeavingHostIsPassedOver(t *testing.T) {
	near, far := ready("near", "zone-0"), ready("far", "zone-1")
	d := &directory{members: []membership.Member{near, far}}
	r, _ := newRouter(d, 1)
	for range 1000 {
		r.Begin(near.Host)
		r.Done(near.Host, route.Result{Outcome: route.Success})
	}
	r.Begin(near.Host)
	r.Done(near.Host, route.Result{Outcome: route.Leaving, Position: near.Version})
	picked, err := r.Pick(service, nil)
	assert.NilError(t, err)
	assert.Equal(t, picked.Host, far.Host)

	d.members[0].Version.Counter++
	picked, err = r.Pick(service, nil)
	assert.NilError(t, err)
	assert.Equal(t, picked.Host, near.Host)
}

// Spare work goes only to targets with slots to spare.
func TestPickSpareNeedsSpareSlots(t *testing.T) {
	d := &directory{members: []membership.Member{ready("a", "zone-0")}}
	r, _ := newRouter(d, 1)
	for range slots / 2 {
		_, err := r.PickWithSpareSlots(service, nil)
		assert.NilError(t, err)
		r.Begin("a")
	}
	_, err := r.PickWithSpareSlots(service, nil)
	assert.Assert(t, errors.Is(err, route.ErrNoTarget))
	_, err = r.Pick(service, nil)
	assert.NilError(t, err)
}
