package once_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/once"
	"github.com/mulberrybank/mulberrybank/internal/standin/logservice"
)

const laterService = "casetas/libro-temporada"

// withService returns a view in which hosts have a ready target of a service.
func withService(name string, hosts ...string) *membership.View {
	view := &membership.View{ByService: map[string][]membership.Member{}}
	for _, host := range hosts {
		member := membership.Member{Host: host, State: membership.Alive, TargetState: membership.Ready}
		view.ByService[name] = append(view.ByService[name], member)
	}
	return view
}

// hostsAt returns the homes of a service at a time.
func hostsAt(chain once.Grants, name string, at time.Time) []string {
	for _, entry := range chain.At(at.UnixMilli()).GetServices() {
		if entry.GetService() == name {
			return entry.GetHosts()
		}
	}
	return nil
}

// TestAdditionLeavesHomesAsTheyAre gives homes to a service that has none and
// offers others to one that has some.
func TestAdditionLeavesHomesAsTheyAre(t *testing.T) {
	chain, added := once.Grants(nil).Add(once.NextGrant(nil, withService(service, "host-1"), epoch, once.DefaultReach), epoch)
	assert.Assert(t, added)
	later := epoch.Add(time.Minute)
	addition := once.NextAddition(chain, withService(laterService, "host-2"), later)
	addition.Services = append(addition.Services, &once.ServiceHomes{Service: service, Hosts: []string{"host-3"}})
	chain, added = chain.Add(addition, later)
	assert.Assert(t, added)
	assert.DeepEqual(t, hostsAt(chain, laterService, later), []string{"host-2"})
	assert.Equal(t, len(hostsAt(chain, laterService, epoch)), 0)
	assert.DeepEqual(t, hostsAt(chain, service, later), []string{"host-1"})
	assert.DeepEqual(t, hostsAt(chain, service, epoch), []string{"host-1"})

	second := once.NextAddition(chain, withService(laterService, "host-4"), later)
	assert.Assert(t, second == nil)
	expanded, ok := once.Expand(chain.Compact())
	assert.Assert(t, ok)
	assert.DeepEqual(t, hostsAt(expanded, laterService, later), []string{"host-2"})
}

// growingFleet is a fleet in which targets of a service appear later.
type growingFleet struct {
	fleet
	appears time.Time
}

func (f growingFleet) View() *membership.View {
	view := f.fleet.View()
	if time.Now().Before(f.appears) {
		return view
	}
	for _, member := range view.Members {
		member.Service = laterService
		view.ByService[laterService] = append(view.ByService[laterService], member)
	}
	return view
}

// TestNewServiceGetsHomesSoon lets targets of a new service appear between two
// grants; its keys have homes long before the next grant begins.
func TestNewServiceGetsHomesSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := growingFleet{
			fleet:   fleet{size: 3, log: logservice.New(logservice.Options{})},
			appears: time.Now().Add(time.Minute),
		}
		one := startFleet(ctx, f, f.fleet, nil)
		time.Sleep(2 * time.Minute)
		grants, known := one.Grants()
		assert.Assert(t, known)
		assert.Equal(t, len(hostsAt(grants, laterService, time.Now())), f.size)
	})
}
