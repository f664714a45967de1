package distribute

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/mulberrybank/mulberrybank/internal/peer"
)

// Limits of the catch-up requests that one daemon serves.
const (
	catchUpsPerSecond = 50
	catchUpBurst      = 20
	// shedRetryAfter is the mean retry delay sent to shed peers.
	shedRetryAfter = 2 * time.Second
	// maxAlternatives limits the addresses sent to a shed peer.
	maxAlternatives = 3
)

func newCatchUpLimiter() *rate.Limiter { return rate.NewLimiter(catchUpsPerSecond, catchUpBurst) }

// handleCatchUp returns what a daemon at an offset is missing, or sheds the
// request.
func (d *Distributor) handleCatchUp(requester peer.Identity, offset uint64, digest []byte) (catchUpResponse, error) {
	if !d.catchUpLimiter.AllowN(d.now(), 1) {
		d.counters.shed.Inc()
		return d.shedResponse(requester.Host), nil
	}
	snap, records, err := d.state.missingAfter(offset)
	if err != nil {
		return catchUpResponse{}, err
	}
	d.compareDigest(requester.Host, offset, digest)
	own, ownDigest := d.activationPosition()
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

// shedResponse names other daemons of this zone that may serve the request.
func (d *Distributor) shedResponse(requester string) catchUpResponse {
	response := catchUpResponse{RetryAfter: d.jitter.around(shedRetryAfter)}
	zone := rankZones(d.directory.View())[d.self.Zone]
	for _, member := range zone[:min(maxAlternatives+2, len(zone))] {
		if member.Host != d.self.Host && member.Host != requester && len(response.Alternatives) < maxAlternatives {
			response.Alternatives = append(response.Alternatives, member.ControlAddress)
		}
	}
	return response
}
