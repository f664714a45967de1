package distribute

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// slowLink is the rate of the smallest hosts' links, 7 Mbit/s, in bytes a second.
	slowLink = 7_000_000 / 8
	// maxActivation is the time within which a change is active on all daemons.
	maxActivation = 4 * time.Second
)

// longRecord returns a payload that is as long as a configuration with a number of
// routes and as compressible.
func longRecord(routes int) string {
	random := rand.New(rand.NewPCG(1, 2))
	var payload strings.Builder
	for range routes {
		fmt.Fprintf(&payload, "route added-%08x host %02x.example prefix /%08x/ deadline 6000000 attempts 3 service heater-status weight 1 objective 1000000\n",
			random.Uint32(), random.Uint32()%10, random.Uint32())
	}
	return payload.String()
}

// nearestRegionMesh returns a mesh in which only a region that is nearest to the log
// reads it, after all daemons have applied the first record.
func nearestRegionMesh(t *testing.T, perZone int, nearest string) *mesh {
	m := threeRegions(t, perZone)
	m.options.Timing = FastTiming
	for host, member := range m.members {
		member.LogRTT = 41 * time.Millisecond
		if member.Region == nearest {
			member.LogRTT = 2 * time.Millisecond
		}
		m.members[host] = member
	}
	m.log.add("1")
	m.startAll()
	m.waitFor(1, 10*time.Second)
	time.Sleep(20 * time.Second)
	return m
}

func TestLongRecordOverSlowLinksIsActiveInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := nearestRegionMesh(t, 13, "greater-accra")
		m.net.setRate(slowLink)
		start := time.Now()
		last := m.log.add(longRecord(4000))
		m.waitFor(last, maxActivation)
		t.Logf("after %s", time.Since(start))
	})
}

func TestTransferOfLongRecordIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		m.options.Timing = FastTiming
		m.zone("greater-accra", "a", 4)
		m.log.add("1")
		m.startAll()
		m.waitFor(1, 10*time.Second)
		time.Sleep(stabilizeTime)
		before := m.failedSources()
		m.net.setRate(slowLink / 10)
		last := m.log.add(longRecord(4000))
		m.waitFor(last, time.Minute)
		assert.DeepEqual(t, m.failedSources(), before)
	})
}

// failedSources returns how often each daemon has left a source that was silent or
// failed.
func (m *mesh) failedSources() map[string]uint64 {
	failed := make(map[string]uint64)
	for host, n := range m.nodes {
		for _, cause := range []string{"silent", "error"} {
			for _, kind := range []string{"log", "peer"} {
				name := fmt.Sprintf(`mulberrybank_sources_left_total{source=%q,cause=%q}`, kind, cause)
				failed[host] += n.metrics.GetOrCreateCounter(name).Get()
			}
		}
	}
	return failed
}
