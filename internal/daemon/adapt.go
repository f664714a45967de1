package daemon

import (
	"time"

	"github.com/mulberrybank/mulberrybank/internal/admin"
	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/enforce"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/once"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// grantChain shows the grants in force to the proposer.
type grantChain struct{ enforcer *enforce.Enforcer }

func (c grantChain) Grants() (once.Grants, bool) {
	table := c.enforcer.Table()
	if table == nil {
		return nil, false
	}
	return table.Config.Grants, true
}

func (c grantChain) Changed() <-chan struct{} { return c.enforcer.Changed() }

// targetAddress tells calls where the target of this host serves.
type targetAddress struct{ members *membership.Membership }

func (t targetAddress) TargetAddress() (address, instance string) {
	announcement, _, ok := t.members.LocalTarget()
	if !ok {
		return "", ""
	}
	return announcement.Address, announcement.Instance
}

// keys shows the keeper to calls.
type keys struct{ keeper *once.Deduplicator }

func (k keys) Home(config *publish.Configuration, service, key string) (string, error) {
	return k.keeper.Home(config.Grants, service, key)
}

func (k keys) Claim(config *publish.Configuration, service, key string) (call.KeyClaim, error) {
	run, err := k.keeper.Claim(config.Grants, service, key)
	if err != nil {
		return nil, err
	}
	return keyRun{run}, nil
}

// keyRun shows one claimed key to calls.
type keyRun struct{ run *once.Claim }

func (r keyRun) Replay() (*call.StoredResponse, bool) {
	answer, ok := r.run.Replay()
	if !ok {
		return nil, false
	}
	return &call.StoredResponse{Status: answer.Status, Header: answer.Header, Body: answer.Body}, true
}

func (r keyRun) Complete(answer *call.StoredResponse) {
	if answer == nil {
		r.run.Complete(nil)
		return
	}
	r.run.Complete(&once.Response{Status: answer.Status, Header: answer.Header, Body: answer.Body})
}

func (r keyRun) Release() { r.run.Release() }

// convergence shows what distribution knows to operators.
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

// staleness is how long ago the daemon last had all records.
func (d *Daemon) staleness() (time.Duration, bool) {
	age := d.distributor.Convergence().Staleness
	return age, age >= 0
}
