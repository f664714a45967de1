package once_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrybank/mulberrybank/internal/once"
)

// minRunShare is the share of keys that run in spite of all faults. A keeper
// that refuses everything would be safe and useless.
const minRunShare = 0.05

// worldSteps is how many steps one interleaving takes.
const worldSteps = 500

func TestKeysRunAtMostOnce(t *testing.T) {
	keys, ran, replayed := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Bool().Draw(t, "homes at first"))
		for range worldSteps {
			w.step()
			w.checkAtMostOnce()
		}
		keys += len(w.keys)
		ran += len(w.handed)
		replayed += w.replayed
	})
	t.Logf("%d keys, %d ran, %d answers replayed", keys, ran, replayed)
	assert.Assert(t, float64(ran) >= minRunShare*float64(keys))
	assert.Assert(t, replayed > 0)
}

// TestKeysRunInQuietTimes renews the chain for a day; every fresh key runs.
func TestKeysRunInQuietTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, true)
		for range 24 * 12 {
			w.now = w.now.Add(once.DefaultReach / 3)
			w.appends = append(w.appends, w.nextGrant(w.anyHost("proposer"), w.hosts))
			w.land()
			for _, h := range w.hosts {
				h.position = len(w.chains) - 1
			}
			key := keyAt(w.now, uint64(len(w.chains)))
			through := w.anyHost("through")
			name, err := through.keeper.Home(w.chain(through), service, key)
			assert.NilError(t, err)
			for _, h := range w.hosts {
				_, err := h.keeper.Claim(w.chain(h), service, key)
				assert.Equal(t, err == nil, h.name == name)
			}
		}
	})
}

// TestRestartedHomeTakesKeysAfterItsMargin checks both sides of the margin:
// no key that an earlier process took, and every key soon after.
func TestRestartedHomeTakesKeysAfterItsMargin(t *testing.T) {
	now := epoch.Add(time.Minute)
	before := keeperOf(&now, nil)
	last := keyAt(now.Add(once.MaxAhead), 1)
	_, err := before.Claim(oneHost(), service, last)
	assert.NilError(t, err)

	now = now.Add(-once.MaxClockStep)
	after := keeperOf(&now, func(o *once.Options) { o.Started = now })
	now = now.Add(once.MaxAhead + once.MaxClockStep)
	_, err = after.Claim(oneHost(), service, last)
	assertRefused(t, err, once.BeforeStart)
	now = now.Add(time.Millisecond)
	_, err = after.Claim(oneHost(), service, keyAt(now, 2))
	assert.NilError(t, err)
}
