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

// daemon is one proposer with the state applied from the log.
type daemon struct {
	*enforce.Enforcer
}

// Grants returns the chain of the active configuration.
func (d daemon) Grants() (once.Grants, bool) {
	table := d.Table()
	if table == nil {
		return nil, false
	}
	return table.Config.Grants, true
}

// follow applies the log until ctx ends.
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

// View lists the daemons of the cluster; every host has a ready target.
func (c cluster) View() *membership.View {
	view := &membership.View{}
	for i := range c.size {
		member := membership.Member{
			Host: fmt.Sprintf("host-%d", i), State: membership.Alive, Service: service, TargetState: membership.Ready,
		}
		view.Members = view.Members.With(member.Host, member)
		view.ByService = view.ByService.With(service, append(view.ByService.At(service), member))
	}
	return view
}

// Changed returns nil, since the membership never changes.
func (c cluster) Changed() <-chan struct{} { return nil }

// cluster is a set of daemons on one log. Its view shows failed ones as alive.
type cluster struct {
	size int
	log  *logservice.Service
}

// start runs the daemons that have not failed and returns one of them.
func (c cluster) start(ctx context.Context, failed map[string]bool) daemon {
	return startCluster(ctx, c, c, failed)
}

// startCluster is start with a directory that may differ from the cluster.
func startCluster(ctx context.Context, directory membership.Directory, c cluster, failed map[string]bool) daemon {
	payload := []byte("a record, so that the empty configuration is in force")
	_, _ = c.log.Append(ctx, platform.ConfigurationStream, payload)
	var last daemon
	for host := range c.View().Members.All() {
		if failed[host] {
			continue
		}
		last = daemon{enforce.New(publish.NewStateMachine(), timeline.Discard{})}
		go last.follow(ctx, c.log)
		proposer := once.NewProposer(once.ProposerOptions{
			Host: host, Log: c.log, Directory: directory, Chain: last, Encode: publish.EncodeGrant,
			Rand: rand.New(rand.NewPCG(1, uint64(len(host)))),
		})
		go func() { _ = proposer.Run(ctx) }()
	}
	return last
}

// horizonOf returns how far the chain extends past now, negative when it has ended.
func horizonOf(d daemon) time.Duration {
	grants, _ := d.Grants()
	return time.Until(time.UnixMilli(grants.End()))
}

const clusterSize = 20

func TestOneProposerExtendsTheChain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := cluster{size: clusterSize, log: logservice.New(logservice.Options{})}
		d := c.start(ctx, nil)
		time.Sleep(time.Minute)
		const hours = 2
		for range hours * 60 {
			time.Sleep(time.Minute)
			assert.Assert(t, horizonOf(d) > once.DefaultHorizon/2, "the chain ends in %v", horizonOf(d))
		}
		due := uint64(hours*time.Hour/(once.DefaultHorizon/3)) + 2
		appends := c.log.Counts().Appends
		assert.Assert(t, appends <= due+due/4, "got %d appends, %d are due", appends, due)
	})
}

func TestNextRankProposesWhenLowerRanksFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := cluster{size: clusterSize, log: logservice.New(logservice.Options{})}
		failed := map[string]bool{}
		for i := range clusterSize - 1 {
			failed[fmt.Sprintf("host-%d", i)] = true
		}
		d := c.start(ctx, failed)
		time.Sleep(5 * time.Minute)
		for range 60 {
			time.Sleep(time.Minute)
			assert.Assert(t, horizonOf(d) > once.DefaultHorizon/3, "the chain ends in %v", horizonOf(d))
		}
	})
}

func TestShortOutageOfTheLogLeavesNoGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := cluster{size: clusterSize, log: logservice.New(logservice.Options{})}
		d := c.start(ctx, nil)
		time.Sleep(time.Hour)
		c.log.SetFaults(logservice.Faults{Refuse: true})
		before := c.log.Counts().Appends
		for range 9 {
			time.Sleep(time.Minute)
			assert.Assert(t, horizonOf(d) > 0)
		}
		attempted := c.log.Counts().Appends - before
		assert.Assert(t, attempted <= clusterSize*9, "%d attempts to append in 9 minutes", attempted)
		c.log.SetFaults(logservice.Faults{})
		time.Sleep(time.Minute)
		assert.Assert(t, horizonOf(d) > once.DefaultHorizon/2)
		grants, _ := d.Grants()
		for i := 1; i < len(grants); i++ {
			assert.Equal(t, grants[i].GetFromMs(), grants[i-1].GetUntilMs())
		}
	})
}

func TestChainContinuesAfterLongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := cluster{size: clusterSize, log: logservice.New(logservice.Options{})}
		d := c.start(ctx, nil)
		time.Sleep(time.Hour)
		ended, _ := d.Grants()
		c.log.SetFaults(logservice.Faults{Refuse: true})
		time.Sleep(time.Hour)
		assert.Assert(t, horizonOf(d) < 0)
		c.log.SetFaults(logservice.Faults{})
		time.Sleep(time.Minute)
		grants, _ := d.Grants()
		assert.Assert(t, horizonOf(d) > once.DefaultHorizon/2)
		assert.Assert(t, grants.At(time.Now().UnixMilli()) != nil)
		assert.Assert(t, grants.At(ended.End()+time.Minute.Milliseconds()) == nil)
	})
}

func TestLostAppendResponsesLeaveOneChain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := cluster{size: clusterSize, log: logservice.New(logservice.Options{})}
		d := c.start(ctx, nil)
		c.log.SetFaults(logservice.Faults{DropResponses: true})
		time.Sleep(time.Hour)
		assert.Assert(t, horizonOf(d) > once.DefaultHorizon/2)
		assert.Assert(t, c.log.Counts().Appends <= 20, "%d appends", c.log.Counts().Appends)
	})
}
