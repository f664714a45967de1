package membership

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/platform"
)

// hostLog keeps records in memory.
type hostLog struct {
	platform.KeyedLog
	delay time.Duration

	mu      sync.Mutex
	calls   int
	records map[string][]platform.KeyedRecord
	// rejects makes every call fail without effect, losesAnswers every write after it
	// has taken effect.
	rejects, losesAnswers bool
}

// errLogFault is what a hostLog returns that injects a fault.
var errLogFault = errors.New("injected fault")

// call counts a call and returns the fault that is injected into it.
func (l *hostLog) call() error {
	time.Sleep(l.delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.rejects {
		return fmt.Errorf("%w: %w", platform.ErrRefused, errLogFault)
	}
	return nil
}

func (l *hostLog) setFaults(rejects, losesAnswers bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rejects, l.losesAnswers = rejects, losesAnswers
}

func (l *hostLog) Put(_ context.Context, stream, key string, payload []byte) error {
	if err := l.call(); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.records == nil {
		l.records = make(map[string][]platform.KeyedRecord)
	}
	l.records[stream] = append(l.records[stream], platform.KeyedRecord{Key: key, Record: platform.Record{Payload: payload}})
	if l.losesAnswers {
		return fmt.Errorf("%w: %w", platform.ErrUnknown, errLogFault)
	}
	return nil
}

func (l *hostLog) Newest(_ context.Context, stream string) ([]platform.KeyedRecord, uint64, error) {
	if err := l.call(); err != nil {
		return nil, 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.records[stream]), uint64(len(l.records[stream])), nil
}

func (l *hostLog) NewestWithPrefix(_ context.Context, stream, prefix string) ([]platform.KeyedRecord, error) {
	if err := l.call(); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := make(map[string]platform.KeyedRecord)
	for _, record := range l.records[stream] {
		newest[record.Key] = record
		if len(record.Payload) == 0 || !strings.HasPrefix(record.Key, prefix) {
			delete(newest, record.Key)
		}
	}
	return slices.Collect(maps.Values(newest)), nil
}

// startWithLog starts daemons that discover each other through the log alone.
func (m *mesh) startWithLog(log *hostLog, zones, perZone int) {
	for number := range perZone {
		for zone := range zones {
			region := fmt.Sprintf("region-%d", zone%3)
			id := peer.Identity{Host: hostName(region, zone, number), Zone: fmt.Sprintf("zone-%d", zone), Region: region, Incarnation: 1}
			m.startWith(Options{Identity: id, HostLog: log})
		}
	}
}

// sentAcrossRegions returns the bytes that all daemons sent to other regions.
func (m *mesh) sentAcrossRegions() uint64 {
	total := uint64(0)
	for _, d := range m.daemons {
		for class, bytes := range d.traffic.Snapshot() {
			if class.Scope == peer.BetweenRegions {
				total += bytes.Sent
			}
		}
	}
	return total
}

// TestCostOfDiscoveryThroughLogIsBounded starts 78 daemons at once that
// discover each other through the log, and one more later. The control bytes
// sent to other regions and the calls to the log must stay within their limits:
// each daemon calls the log twice unless no peer answers.
func TestCostOfDiscoveryThroughLogIsBounded(t *testing.T) {
	const (
		zones, perZone = 6, 13
		count          = zones * perZone
		// bytesPerSecond is the limit for all control traffic of a daemon.
		bytesPerSecond = 5_000
		span           = 10 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		log := &hostLog{delay: 4 * time.Millisecond}
		start := time.Now()
		m.startWithLog(log, zones, perZone)
		took := m.waitUntil(span, "complete", knowsAll(count))
		time.Sleep(span - time.Since(start))
		crossRegionBytes := m.sentAcrossRegions()
		t.Logf("complete after %s, %d bytes to other regions, %d calls", took, crossRegionBytes, log.calls)
		assert.Assert(t, crossRegionBytes < count*bytesPerSecond*uint64(span/time.Second)/4, "%d bytes", crossRegionBytes)
		assert.Assert(t, log.calls <= 3*count, "%d calls", log.calls)

		id := peer.Identity{Host: "late", Zone: "zone-1", Region: "region-1", Incarnation: 1}
		late := m.startWith(Options{Identity: id, HostLog: log})
		m.waitUntil(span, "complete with a late daemon", knowsAll(count+1))
		time.Sleep(span)
		lateBytes := uint64(0)
		for class, bytes := range late.traffic.Snapshot() {
			if class.Scope == peer.BetweenRegions {
				lateBytes += bytes.Sent + bytes.Received
			}
		}
		assert.Assert(t, lateBytes < bytesPerSecond*uint64(span/time.Second), "%d bytes of the late daemon", lateBytes)
	})
}

// TestOddLogRecordsHideNoLiveHost starts daemons whose log holds records of another
// writer that no daemon would write.
func TestOddLogRecordsHideNoLiveHost(t *testing.T) {
	encode := func(message *Entry) []byte {
		payload, err := proto.Marshal(message)
		assert.NilError(t, err)
		return payload
	}
	odd := [][]byte{
		nil,
		[]byte("{}"),
		bytes.Repeat([]byte{0xff}, 1<<10),
		// Groups of an unknown field, each within the one before.
		bytes.Repeat([]byte{0xfb, 0x01}, 200_000),
		encode(&Entry{}),
		encode(&Entry{Host: "odd-port", Zone: "zone-0", Region: "region-0", ControlAddress: "127.0.0.1:99999"}),
		encode(&Entry{Host: "odd-address", Zone: "zone-1", Region: "region-1", ControlAddress: "no address"}),
		encode(&Entry{Zone: "zone-2", Region: "region-2", ControlAddress: "127.0.0.1:0"}),
		encode(&Entry{
			Host: "odd-numbers", Zone: "zone-0", Region: "region-0", ControlAddress: "odd-numbers",
			Incarnation: math.MaxUint64, Counter: math.MaxUint64, State: math.MaxUint32, Slots: math.MaxUint32,
			TargetState: math.MaxUint32, LogDistanceMs: math.MaxUint32, InForce: math.MaxUint64, GoneSeconds: math.MaxUint32,
		}),
	}
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		log := &hostLog{}
		for i, payload := range odd {
			assert.NilError(t, log.Put(t.Context(), platform.HostStream, fmt.Sprintf("odd-%d", i), payload))
		}
		const zones, perZone = 3, 4
		m.startWithLog(log, zones, perZone)
		m.waitUntil(20*time.Second, "complete", knowsAll(zones*perZone))
	})
}

// TestStaleLogRecordsHideNoLiveHost starts daemons whose log holds ten records
// of gone hosts for each live one.
func TestStaleLogRecordsHideNoLiveHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		log := &hostLog{}
		for i := range 60 {
			gone := New(Options{
				Self:     Member{Host: fmt.Sprintf("gone-%d", i), Zone: fmt.Sprintf("zone-%d", i%3), Region: "region-0", ControlAddress: fmt.Sprintf("gone-%d", i)},
				Identity: peer.Identity{Host: fmt.Sprintf("gone-%d", i), Zone: fmt.Sprintf("zone-%d", i%3), Region: "region-0"},
				HostLog:  log,
			})
			assert.NilError(t, gone.writeHostRecord(t.Context()))
		}
		m.startWithLog(log, 3, 2)
		took := m.waitUntil(10*time.Second, "complete", knowsAll(6))
		t.Logf("complete after %s", took)
	})
}
