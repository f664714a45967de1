package distribute

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/mulberrybank/mulberrybank/internal/platform"
)

// errStale says that a peer is as cut off from the log as this daemon.
var errStale = errors.New("the peer is cut off from the log")

// probe asks a source once before the present one is left for it, so that a
// source that works is never given up for one that does not.
func (d *Distributor) probe(ctx context.Context, up *upstream, source Source) bool {
	ask := d.probePeer
	if source.Log {
		ask = d.probeLog
	}
	err := ask(ctx, source)
	switch {
	case err == nil:
		return true
	case errors.Is(err, errStale):
		up.recordStaleness(source, true)
	default:
		up.recordFailure(source, err)
	}
	return false
}

// probeLog reads the log once without waiting.
func (d *Distributor) probeLog(ctx context.Context, _ Source) error {
	offset, _ := d.enforcer.Position()
	_, err := d.readOnce(ctx, platform.ConfigurationStream, offset+1, 0)
	var expired *platform.ExpiredError
	if errors.As(err, &expired) {
		return nil
	}
	return err
}

// probePeer catches up from a peer and checks that it may be followed.
func (d *Distributor) probePeer(ctx context.Context, source Source) error {
	ctx, cancel := context.WithTimeout(ctx, d.timing.PullTimeout)
	defer cancel()
	offset, digest := d.enforcer.Position()
	answer, err := d.catchUp(ctx, source.Address, offset, digest)
	if err != nil {
		return err
	}
	if err := checkSource(answer, d.self.Host); err != nil {
		return fmt.Errorf("probe %s: %w", source, err)
	}
	if d.now().Sub(answer.UpToDateAt) > d.timing.ReaderMaxAge {
		return fmt.Errorf("probe %s: %w", source, errStale)
	}
	return d.applyRecords(answer.Snapshot, answer.Records)
}

// checkSource returns why a peer cannot be followed, nil when it can.
func checkSource(answer catchUpResponse, self string) error {
	switch {
	case answer.RetryAfter > 0:
		return &shedError{retryAfter: answer.RetryAfter}
	case answer.Stopped:
		return errApplyStopped
	case slices.Contains(answer.Path, self):
		return errLoop
	default:
		return nil
	}
}
