package once_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrybank/mulberrybank/internal/once"
)

// minRunFraction is the fraction of keys that must run despite all faults. A
// deduplicator that refuses everything would pass the safety checks.
const minRunFraction = 0.05

// simulationSteps is the number of steps of one interleaving.
const simulationSteps = 500

func TestKeysRunAtMostOnce(t *testing.T) {
	keys, ran, replayed := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Bool().Draw(t, "homes at first"))
		for range simulationSteps {
			s.step()
			s.checkAtMostOnce()
		}
		keys += len(s.keys)
		ran += len(s.sent)
		replayed += s.replayed
	})
	t.Logf("%d keys, %d ran, %d responses replayed", keys, ran, replayed)
	assert.Assert(t, float64(ran) >= minRunFraction*float64(keys))
	assert.Assert(t, replayed > 0)
}

// TestKeysRunInQuietTimes renews the chain for a day without faults; every new key
// runs on its home and nowhere else.
func TestKeysRunInQuietTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, true)
		for range 24 * 12 {
			s.now = s.now.Add(once.DefaultHorizon / 3)
			s.appends = append(s.appends, s.nextGrant(s.drawHost("proposer"), s.hosts))
			s.applyAppend()
			for _, h := range s.hosts {
				h.position = len(s.chains) - 1
			}
			key := keyAt(s.now, uint64(len(s.chains)))
			through := s.drawHost("through")
			name, err := through.deduplicator.Home(s.chain(through), service, key)
			assert.NilError(t, err)
			for _, h := range s.hosts {
				_, err := h.deduplicator.Claim(s.chain(h), service, key)
				assert.Equal(t, err == nil, h.name == name)
			}
		}
	})
}

// A restarted home refuses keys that the earlier process may have run, and accepts
// keys right after the restart margin.
func TestRestartedHomeAcceptsKeysAfterMargin(t *testing.T) {
	now := epoch.Add(time.Minute)
	before := newDeduplicator(&now, nil)
	last := keyAt(now.Add(once.MaxFutureSkew), 1)
	_, err := before.Claim(singleHostChain(), service, last)
	assert.NilError(t, err)

	now = now.Add(-once.MaxBackwardStep)
	after := newDeduplicator(&now, func(o *once.Options) { o.Started = now })
	now = now.Add(once.MaxFutureSkew + once.MaxBackwardStep)
	_, err = after.Claim(singleHostChain(), service, last)
	assertRefused(t, err, once.BeforeStart)
	now = now.Add(time.Millisecond)
	_, err = after.Claim(singleHostChain(), service, keyAt(now, 2))
	assert.NilError(t, err)
}
