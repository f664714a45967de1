package once_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/enforce"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/once"
	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/standin/logservice"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// daemon is one proposer with a fold of the log.
type daemon struct {
	*enforce.Enforcer
}

// Grants returns the chain in force.
func (d daemon) Grants() (once.Grants, bool) {
	table := d.Table()
	if table == nil {
		return nil, false
	}
	return table.Config.Grants, true
}

// follow folds the log until ctx ends.
func (d daemon) follow(ctx context.Context, log platform.Log) {
	for ctx.Err() == nil {
		offset, _ := d.Position()
		result, err := log.Read(ctx, platform.ConfigurationStream, offset+1, time.Minute)
		if err != nil {
			select {
			case <-time.After(time.Second):
			case <-ctx.Done():
			}
			continue
		}
		_ = d.Apply(result.Records)
	}
}

// View lists the daemons of a fleet; every host has a ready target.
func (f fleet) View() *membership.View {
	view := &membership.View{Members: map[string]membership.Member{}, ByService: map[string][]membership.Member{}}
	for i := range f.size {
		member := membership.Member{
			Host: fmt.Sprintf("host-%d", i), State: membership.Alive, Service: service, TargetState: membership.Ready,
		}
		view.Members[member.Host] = member
		view.ByService[service] = append(view.ByService[service], member)
	}
	return view
}

// Changed never tells of a change.
func (f fleet) Changed() <-chan struct{} { return nil }

// fleet is some daemons on one log, of which some are dead and not yet known
// to be.
type fleet struct {
	size int
	log  *logservice.Service
}

// start runs the living daemons and returns one of them.
func (f fleet) start(ctx context.Context, dead map[string]bool) daemon {
	return startFleet(ctx, f, f, dead)
}

// startFleet runs the living daemons of a fleet by the members that a
// directory shows.
func startFleet(ctx context.Context, directory membership.Directory, f fleet, dead map[string]bool) daemon {
	payload := []byte("a record, so that the empty configuration is in force")
	_, _ = f.log.Append(ctx, platform.ConfigurationStream, payload)
	var last daemon
	for host := range f.View().Members {
		if dead[host] {
			continue
		}
		last = daemon{enforce.New(publish.NewStateMachine(), timeline.Discard{})}
		go last.follow(ctx, f.log)
		proposer := once.NewProposer(once.ProposerOptions{
			Host: host, Log: f.log, Directory: directory, Chain: last, Encode: publish.EncodeGrant,
			Rand: rand.New(rand.NewPCG(1, uint64(len(host)))),
		})
		go func() { _ = proposer.Run(ctx) }()
	}
	return last
}

// ahead is how far the chain reaches, negative when it has ended.
func ahead(d daemon) time.Duration {
	grants, _ := d.Grants()
	return time.Until(time.UnixMilli(grants.End()))
}

const fleetSize = 20

func TestOneProposerExtendsTheChain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := fleet{size: fleetSize, log: logservice.New(logservice.Options{})}
		one := f.start(ctx, nil)
		time.Sleep(time.Minute)
		const hours = 2
		for range hours * 60 {
			time.Sleep(time.Minute)
			assert.Assert(t, ahead(one) > once.DefaultReach/2, "the chain reaches %v ahead", ahead(one))
		}
		due := uint64(hours*time.Hour/(once.DefaultReach/3)) + 2
		appends := f.log.Counts().Appends
		assert.Assert(t, appends <= due+due/4, "%d appends where %d are due", appends, due)
	})
}

func TestNextRankProposesWhenTheFirstAreDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := fleet{size: fleetSize, log: logservice.New(logservice.Options{})}
		dead := map[string]bool{}
		for i := range fleetSize - 1 {
			dead[fmt.Sprintf("host-%d", i)] = true
		}
		one := f.start(ctx, dead)
		time.Sleep(5 * time.Minute)
		for range 60 {
			time.Sleep(time.Minute)
			assert.Assert(t, ahead(one) > once.DefaultReach/3, "the chain reaches %v ahead", ahead(one))
		}
	})
}

func TestShortOutageOfTheLogLeavesNoGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := fleet{size: fleetSize, log: logservice.New(logservice.Options{})}
		one := f.start(ctx, nil)
		time.Sleep(time.Hour)
		f.log.SetFaults(logservice.Faults{Refuse: true})
		before := f.log.Counts().Appends
		for range 9 {
			time.Sleep(time.Minute)
			assert.Assert(t, ahead(one) > 0)
		}
		tried := f.log.Counts().Appends - before
		assert.Assert(t, tried <= fleetSize*9, "%d appends tried in 9 minutes", tried)
		f.log.SetFaults(logservice.Faults{})
		time.Sleep(time.Minute)
		assert.Assert(t, ahead(one) > once.DefaultReach/2)
		grants, _ := one.Grants()
		for i := 1; i < len(grants); i++ {
			assert.Equal(t, grants[i].GetFromMs(), grants[i-1].GetUntilMs())
		}
	})
}

func TestChainGoesOnAfterALongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := fleet{size: fleetSize, log: logservice.New(logservice.Options{})}
		one := f.start(ctx, nil)
		time.Sleep(time.Hour)
		ended, _ := one.Grants()
		f.log.SetFaults(logservice.Faults{Refuse: true})
		time.Sleep(time.Hour)
		assert.Assert(t, ahead(one) < 0)
		f.log.SetFaults(logservice.Faults{})
		time.Sleep(time.Minute)
		grants, _ := one.Grants()
		assert.Assert(t, ahead(one) > once.DefaultReach/2)
		assert.Assert(t, grants.At(time.Now().UnixMilli()) != nil)
		assert.Assert(t, grants.At(ended.End()+time.Minute.Milliseconds()) == nil)
	})
}

func TestLostAnswersLeaveOneChain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := fleet{size: fleetSize, log: logservice.New(logservice.Options{})}
		one := f.start(ctx, nil)
		f.log.SetFaults(logservice.Faults{LoseAnswers: true})
		time.Sleep(time.Hour)
		assert.Assert(t, ahead(one) > once.DefaultReach/2)
		assert.Assert(t, f.log.Counts().Appends <= 20, "%d appends", f.log.Counts().Appends)
	})
}
