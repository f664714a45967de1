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

// viewWithService returns a view in which hosts have a ready target of a service.
func viewWithService(name string, hosts ...string) *membership.View {
	view := &membership.View{}
	for _, host := range hosts {
		member := membership.Member{Host: host, State: membership.Alive, TargetState: membership.Ready}
		view.ByService = view.ByService.With(name, append(view.ByService.At(name), member))
	}
	return view
}

// homesAt returns the homes of a service for a key timestamp.
func homesAt(chain once.Grants, name string, at time.Time) []string {
	for _, entry := range chain.At(at.UnixMilli()).GetServices() {
		if entry.GetService() == name {
			return entry.GetHosts()
		}
	}
	return nil
}

// An addition gives homes to a service that has none and does not change the homes
// of one that has some.
func TestAdditionKeepsExistingHomes(t *testing.T) {
	chain, added := once.Grants(nil).Add(once.NextGrant(nil, viewWithService(service, "host-1"), epoch, once.DefaultHorizon), epoch)
	assert.Assert(t, added)
	later := epoch.Add(time.Minute)
	addition := once.NextAddition(chain, viewWithService(laterService, "host-2"), later)
	addition.Services = append(addition.Services, &once.ServiceHomes{Service: service, Hosts: []string{"host-3"}})
	chain, added = chain.Add(addition, later)
	assert.Assert(t, added)
	assert.DeepEqual(t, homesAt(chain, laterService, later), []string{"host-2"})
	assert.Equal(t, len(homesAt(chain, laterService, epoch)), 0)
	assert.DeepEqual(t, homesAt(chain, service, later), []string{"host-1"})
	assert.DeepEqual(t, homesAt(chain, service, epoch), []string{"host-1"})

	second := once.NextAddition(chain, viewWithService(laterService, "host-4"), later)
	assert.Assert(t, second == nil)
	expanded, ok := once.Expand(chain.Compact())
	assert.Assert(t, ok)
	assert.DeepEqual(t, homesAt(expanded, laterService, later), []string{"host-2"})
}

// growingCluster is a cluster in which the targets of a service appear later.
type growingCluster struct {
	cluster
	appears time.Time
}

func (c growingCluster) View() *membership.View {
	view := c.cluster.View()
	if time.Now().Before(c.appears) {
		return view
	}
	for _, member := range view.Members.All() {
		member.Service = laterService
		view.ByService = view.ByService.With(laterService, append(view.ByService.At(laterService), member))
	}
	return view
}

// When targets of a new service appear between two grants, its keys get homes long
// before the next grant begins.
func TestNewServiceGetsHomesBeforeNextGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := growingCluster{
			cluster: cluster{size: 3, log: logservice.New(logservice.Options{})},
			appears: time.Now().Add(time.Minute),
		}
		d := startCluster(ctx, c, c.cluster, nil)
		time.Sleep(2 * time.Minute)
		grants, known := d.Grants()
		assert.Assert(t, known)
		assert.Equal(t, len(homesAt(grants, laterService, time.Now())), c.size)
	})
}
