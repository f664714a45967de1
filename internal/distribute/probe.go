package distribute

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/mulberrybank/mulberrybank/internal/idle"
	"github.com/mulberrybank/mulberrybank/internal/platform"
)

// errStale reports that a peer is also cut off from the log.
var errStale = errors.New("peer is cut off from the log")

// probe queries a source once before the current one is abandoned for it, so
// that a working source is never replaced by a failing one.
func (d *Distributor) probe(ctx context.Context, selector *sourceSelector, source Source) bool {
	query := d.probePeer
	if source.Log {
		query = d.probeLog
	}
	err := query(ctx, source)
	switch {
	case err == nil:
		return true
	case errors.Is(err, errStale):
		selector.recordStaleness(source, true)
	default:
		selector.recordFailure(source, err)
	}
	return false
}

// probeLog reads the log once without waiting and applies what it returns, so that no
// record has to be transferred again.
func (d *Distributor) probeLog(ctx context.Context, _ Source) error {
	offset, _ := d.enforcer.Position()
	result, err := d.readOnce(ctx, platform.ConfigurationStream, offset+1, 0)
	var expired *platform.ExpiredError
	if errors.As(err, &expired) {
		return nil
	}
	if err != nil {
		return err
	}
	d.deferFirstTable(result)
	return d.applyRecords(nil, result.Records)
}

// probePeer catches up from a peer and checks that it may be followed.
func (d *Distributor) probePeer(ctx context.Context, source Source) error {
	ctx, cancel := idle.WithTimeout(ctx, d.timing.PullTimeout, d.timing.PullTimeout)
	defer cancel()
	offset, digest := d.enforcer.Position()
	response, err := d.catchUp(ctx, source.Address, offset, digest)
	if err != nil {
		return err
	}
	if err := checkSource(response, d.self.Host); err != nil {
		return fmt.Errorf("probe %s: %w", source, err)
	}
	if d.now().Sub(response.UpToDateAt) > d.timing.ReaderMaxAge {
		return fmt.Errorf("probe %s: %w", source, errStale)
	}
	return d.applyCatchUp(response)
}

// checkSource returns why a peer cannot be followed, nil if it can.
func checkSource(response catchUpResponse, self string) error {
	switch {
	case response.RetryAfter > 0:
		return &shedError{retryAfter: response.RetryAfter}
	case response.Stopped:
		return errApplyStopped
	case slices.Contains(response.Path, self):
		return errLoop
	default:
		return nil
	}
}
