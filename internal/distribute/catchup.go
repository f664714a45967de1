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
	// maxElsewhere bounds the addresses given to a shed peer.
	maxElsewhere = 3
)

func newCatchUpLimiter() *rate.Limiter { return rate.NewLimiter(catchUpsPerSecond, catchUpBurst) }

// answerCatchUp returns what a daemon at an offset lacks, or sheds it.
func (d *Distributor) answerCatchUp(asking peer.Identity, offset uint64, digest []byte) (catchUpAnswer, error) {
	if !d.catchUps.AllowN(d.now(), 1) {
		d.counters.shed.Inc()
		return d.shedAnswer(asking.Host), nil
	}
	snap, records, err := d.state.after(offset)
	if err != nil {
		return catchUpAnswer{}, err
	}
	d.compare(asking.Host, offset, digest)
	own, ownDigest := d.enforcer.Position()
	return catchUpAnswer{
		Snapshot: snap,
		Records:  records,
		Offset:   own,
		Digest:   ownDigest,
		Fresh:    d.state.freshness(),
		Path:     d.state.path(),
		Stopped:  d.enforcer.StopCause() != nil,
	}, nil
}

// shedAnswer names other daemons of this zone that may answer.
func (d *Distributor) shedAnswer(asking string) catchUpAnswer {
	answer := catchUpAnswer{RetryAfter: d.jitter.around(shedRetryAfter)}
	zone := rankZones(d.directory.View())[d.self.Zone]
	for _, member := range zone[:min(maxElsewhere+2, len(zone))] {
		if member.Host != d.self.Host && member.Host != asking && len(answer.Elsewhere) < maxElsewhere {
			answer.Elsewhere = append(answer.Elsewhere, member.ControlAddress)
		}
	}
	return answer
}
