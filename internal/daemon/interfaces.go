package daemon

import (
	"context"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/admin"
	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/enforce"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/once"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// grantChain provides the grants of the active configuration to the proposer.
type grantChain struct{ enforcer *enforce.Enforcer }

func (c grantChain) Grants() (once.Grants, bool) {
	table := c.enforcer.Table()
	if table == nil {
		return nil, false
	}
	return table.Config.Grants, true
}

func (c grantChain) Changed() <-chan struct{} { return c.enforcer.Changed() }

// localTarget provides the address of the target on this host to the call server.
type localTarget struct{ members *membership.Membership }

func (t localTarget) TargetAddress() (address, instance string) {
	announcement, _, ok := t.members.LocalTarget()
	if !ok {
		return "", ""
	}
	return announcement.Address, announcement.Instance
}

// drainer provides the drain of the target to the administration API. Both calls return
// once the request would outlive this process.
type drainer struct{ members *membership.Membership }

func (d drainer) Drain(ctx context.Context) error {
	d.members.Drain()
	return d.members.AwaitHistoryHeld(ctx)
}

func (d drainer) Resume(ctx context.Context) error {
	d.members.Resume()
	return d.members.AwaitHistoryHeld(ctx)
}

// idempotencyKeys provides the deduplicator to the call server.
type idempotencyKeys struct{ deduplicator *once.Deduplicator }

func (k idempotencyKeys) Home(config *publish.Configuration, service, key string) (string, error) {
	return k.deduplicator.Home(config.Grants, service, key)
}

func (k idempotencyKeys) Claim(config *publish.Configuration, service, key string) (call.KeyClaim, error) {
	claim, err := k.deduplicator.Claim(config.Grants, service, key)
	if err != nil {
		return nil, err
	}
	return keyClaim{claim}, nil
}

// keyClaim provides one claimed key to the call server.
type keyClaim struct{ claim *once.Claim }

func (c keyClaim) Replay() (*call.StoredResponse, bool) {
	response, ok := c.claim.Replay()
	if !ok {
		return nil, false
	}
	return &call.StoredResponse{Status: response.Status, Header: response.Header, Body: response.Body}, true
}

func (c keyClaim) Complete(response *call.StoredResponse) {
	if response == nil {
		c.claim.Complete(nil)
		return
	}
	c.claim.Complete(&once.Response{Status: response.Status, Header: response.Header, Body: response.Body})
}

func (c keyClaim) Release() { c.claim.Release() }

// convergence converts the convergence status of the distributor for the
// administration API.
func (d *Daemon) convergence() admin.Convergence {
	known := d.distributor.Convergence()
	status := admin.Convergence{
		Offset:  known.Offset,
		Lowest:  known.Offset,
		Living:  known.Daemons,
		InForce: known.Reached,
	}
	for _, zone := range known.Zones {
		status.Lowest = min(status.Lowest, zone.Lowest)
	}
	now := time.Now()
	for _, host := range known.Lagging {
		status.Lowest = min(status.Lowest, host.Offset)
		status.Missing = append(status.Missing, admin.Missing{
			Host:        host.Host,
			HeardMillis: now.Sub(host.LastHeard).Milliseconds(),
		})
	}
	return status
}

// staleness returns the time since this daemon was last known to have applied every
// record of the log, and false when it never was.
func (d *Daemon) staleness() (time.Duration, bool) {
	age := d.distributor.Convergence().Staleness
	return age, age >= 0
}
