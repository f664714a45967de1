package distribute

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/mulberrybank/mulberrybank/internal/peer"
)

// Limits of the catch-ups that one daemon serves.
const (
	catchUpsPerSecond = 50
	catchUpBurst      = 20
	// shedRetryAfter is the middle of the times that shed peers are told to
	// stay away for.
	shedRetryAfter = 2 * time.Second
	// maxAlternatives bounds the addresses given to a shed peer.
	maxAlternatives = 3
)

func newCatchUpLimiter() *rate.Limiter { return rate.NewLimiter(catchUpsPerSecond, catchUpBurst) }

// handleCatchUp returns what a daemon at an offset lacks, or sheds it.
func (d *Distributor) handleCatchUp(asking peer.Identity, offset uint64, digest []byte) (catchUpResponse, error) {
	if !d.catchUpLimiter.AllowN(d.now(), 1) {
		d.counters.shed.Inc()
		return d.shedResponse(asking.Host), nil
	}
	snap, records, err := d.state.missingAfter(offset)
	if err != nil {
		return catchUpResponse{}, err
	}
	d.compareDigest(asking.Host, offset, digest)
	own, ownDigest := d.enforcer.Position()
	return catchUpResponse{
		Snapshot:   snap,
		Records:    records,
		Offset:     own,
		Digest:     ownDigest,
		UpToDateAt: d.state.lastUpToDate(),
		Path:       d.state.path(),
		Stopped:    d.enforcer.StopCause() != nil,
	}, nil
}

// shedResponse names other daemons of this zone that may answer.
func (d *Distributor) shedResponse(asking string) catchUpResponse {
	answer := catchUpResponse{RetryAfter: d.jitter.around(shedRetryAfter)}
	zone := rankZones(d.directory.View())[d.self.Zone]
	for _, member := range zone[:min(maxAlternatives+2, len(zone))] {
		if member.Host != d.self.Host && member.Host != asking && len(answer.Alternatives) < maxAlternatives {
			answer.Alternatives = append(answer.Alternatives, member.ControlAddress)
		}
	}
	return answer
}
