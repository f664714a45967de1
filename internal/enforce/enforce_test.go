package enforce_test

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrybank/mulberrybank/internal/enforce"
	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

const template = `{
  "services": [{{if ne .service "none"}}{"name": "{{.service}}", "slots": {{.slots}}}{{end}}],
  "routes": [{"name": "read", "service": "{{.target}}", "idempotent": true, "deadline": "250ms"}],
}`

// drawRecord draws a publication that may be accepted, outdated, a duplicate, invalid
// or missing its service, or bytes that are not an entry.
func drawRecord(t *rapid.T) []byte {
	if rapid.IntRange(0, 9).Draw(t, "malformed") == 0 {
		return rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "bytes")
	}
	payload, err := publish.EncodePublication(&publish.Publication{
		Id:           rapid.StringMatching(`[a-e][0-9]`).Draw(t, "id"),
		Workspace:    rapid.SampledFrom([]string{"heaters", "plazas"}).Draw(t, "workspace"),
		Base:         rapid.Uint64Range(0, 4).Draw(t, "base"),
		Author:       "author",
		SetTemplates: map[string]string{"main.tmpl": template},
		SetParameters: map[string]string{
			"service": rapid.SampledFrom([]string{`"status"`, `"ledger"`, `"none"`}).Draw(t, "service"),
			"target":  rapid.SampledFrom([]string{`"status"`, `"heaters/status"`, `"plazas/ledger"`}).Draw(t, "target"),
			"slots":   rapid.SampledFrom([]string{"6", "20", "many"}).Draw(t, "slots"),
		},
	})
	assert.NilError(t, err)
	return payload
}

// daemon is an Enforcer that checks every table it activates.
type daemon struct {
	t          *rapid.T
	enforcer   *enforce.Enforcer
	highest    uint64
	lastActive uint64
}

func newDaemon(t *rapid.T, floor uint64) *daemon {
	d := &daemon{t: t}
	d.enforcer = enforce.New(publish.NewStateMachine(), d)
	d.enforcer.RaiseFloor(floor)
	return d
}

// Record checks the events of activated tables.
func (d *daemon) Record(event timeline.Event) {
	if event.Kind != timeline.InForce {
		return
	}
	if event.Dangling != 0 {
		d.t.Fatalf("%d dangling routes at offset %d", event.Dangling, event.Offset)
	}
	if event.Offset <= d.lastActive {
		d.t.Fatalf("table activated at %d after %d", event.Offset, d.lastActive)
	}
	d.lastActive = event.Offset
}

// check verifies the invariants after every step: the offset never decreases, equal
// offsets have equal digests, and the active table is neither below the floor nor
// has routes without their service.
func (d *daemon) check(digests map[uint64]string) {
	offset, digest := d.enforcer.Position()
	if offset < d.highest {
		d.t.Fatalf("offset decreased from %d to %d", d.highest, offset)
	}
	d.highest = offset
	if known, ok := digests[offset]; ok && known != string(digest) {
		d.t.Fatalf("digests differ at offset %d", offset)
	}
	digests[offset] = string(digest)
	table := d.enforcer.Table()
	if table == nil {
		return
	}
	if table.Offset < d.enforcer.Floor() {
		d.t.Fatalf("active table at offset %d is below floor %d", table.Offset, d.enforcer.Floor())
	}
	for name, route := range table.Config.Routes {
		if table.Config.Services[route.Service] == nil {
			d.t.Fatalf("route %s refers to service %s, which does not exist", name, route.Service)
		}
	}
}

// TestAnyDeliveryReachesTheSameState delivers parts of one log to several daemons in
// any order, with duplicates, gaps and snapshots that are old or claim a wrong
// offset, and restarts daemons at any time with the floor that peers remember.
func TestAnyDeliveryReachesTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawRecords(t)
		digests := make(map[uint64]string)
		daemons := []*daemon{newDaemon(t, 0), newDaemon(t, 0), newDaemon(t, 0)}
		var snapshots []platform.Record
		t.Repeat(map[string]func(*rapid.T){
			"deliver": func(t *rapid.T) {
				d := rapid.SampledFrom(daemons).Draw(t, "daemon")
				deliver(t, d, records)
			},
			"snapshot": func(t *rapid.T) {
				state, offset, err := rapid.SampledFrom(daemons).Draw(t, "daemon").enforcer.Snapshot()
				assert.NilError(t, err)
				snapshots = append(snapshots, platform.Record{Offset: offset, Payload: state})
			},
			"restore": func(t *rapid.T) {
				if len(snapshots) == 0 {
					t.Skip("no snapshot taken yet")
				}
				snapshot := rapid.SampledFrom(snapshots).Draw(t, "snapshot")
				claimed := snapshot.Offset + rapid.Uint64Range(0, 2).Draw(t, "false claim")
				_ = rapid.SampledFrom(daemons).Draw(t, "daemon").enforcer.Restore(snapshot.Payload, claimed)
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, len(daemons)-1).Draw(t, "daemon")
				floor := daemons[i].lastActive
				daemons[i] = newDaemon(t, floor)
				daemons[i].lastActive = max(floor, 1) - 1
			},
			"late floor": func(t *rapid.T) {
				d := rapid.SampledFrom(daemons).Draw(t, "daemon")
				d.enforcer.RaiseFloor(rapid.Uint64Range(0, uint64(len(records))).Draw(t, "floor"))
			},
			"": func(*rapid.T) {
				for _, d := range daemons {
					d.check(digests)
				}
			},
		})
		for _, d := range daemons {
			assert.NilError(t, d.enforcer.Apply(records))
			d.check(digests)
			assert.Equal(t, d.highest, uint64(len(records)))
			assert.Assert(t, d.enforcer.Table() != nil)
		}
	})
}

func drawRecords(t *rapid.T) []platform.Record {
	count := rapid.IntRange(1, 12).Draw(t, "records")
	records := make([]platform.Record, 0, count)
	for i := range count {
		records = append(records, platform.Record{Offset: uint64(i) + 1, Payload: drawRecord(t)})
	}
	return records
}

// deliver applies a part of the log, possibly shuffled and duplicated.
func deliver(t *rapid.T, d *daemon, records []platform.Record) {
	from := rapid.IntRange(0, len(records)-1).Draw(t, "from")
	to := rapid.IntRange(from, len(records)).Draw(t, "to")
	batch := slices.Clone(records[from:to])
	if rapid.Bool().Draw(t, "repeated") {
		batch = append(batch, batch...)
	}
	if rapid.Bool().Draw(t, "shuffled") {
		batch = rapid.Permutation(batch).Draw(t, "order")
	}
	err := d.enforcer.Apply(batch)
	var gap *enforce.GapError
	if err != nil && !errors.As(err, &gap) {
		t.Fatalf("apply: %v", err)
	}
}

func TestDeferredTableIsActivatedWhenApplyingStops(t *testing.T) {
	enforcer := enforce.New(publish.NewStateMachine(), timeline.Discard{})
	enforcer.DeferFirstTable(3)
	assert.NilError(t, enforcer.Apply([]platform.Record{{Offset: 1, Payload: []byte("malformed")}}))
	assert.Assert(t, enforcer.Table() == nil)
	unknown := binary.AppendUvarint([]byte{8}, publish.Schema+1)
	assert.Assert(t, enforcer.Apply([]platform.Record{{Offset: 2, Payload: unknown}}) != nil)
	assert.Equal(t, enforcer.Table().Offset, uint64(1))
}

func TestUnknownSchemaStopsApplyingAndKeepsTheTable(t *testing.T) {
	enforcer := enforce.New(publish.NewStateMachine(), timeline.Discard{})
	assert.NilError(t, enforcer.Apply([]platform.Record{{Offset: 1, Payload: []byte("malformed")}}))
	before := enforcer.Table()
	unknown := binary.AppendUvarint([]byte{8}, publish.Schema+1)
	err := enforcer.Apply([]platform.Record{{Offset: 2, Payload: unknown}, {Offset: 3}})
	var schema *publish.UnknownSchemaError
	assert.Assert(t, errors.As(err, &schema), fmt.Sprint(err))
	assert.Assert(t, enforcer.StopCause() != nil)
	assert.Equal(t, enforcer.Table(), before)
	assert.Assert(t, enforcer.Apply([]platform.Record{{Offset: 2, Payload: []byte("malformed")}}) != nil)
}

// TestOrderAloneActivatesNoTable guards against a table without routes on a daemon that
// has read a rollout order and no configuration, and against a gap before an order that
// stops the daemon.
func TestOrderAloneActivatesNoTable(t *testing.T) {
	order, err := publish.EncodeRolloutOrder(&publish.RolloutOrder{Workspace: "heaters", Service: "status", Version: "v2", DurationUs: 1})
	assert.NilError(t, err)
	full, err := publish.EncodeFullConfig(&publish.Whole{Workspace: "heaters", Edition: 1})
	assert.NilError(t, err)
	enforcer := enforce.New(publish.NewStateMachine(), timeline.Discard{})
	assert.NilError(t, enforcer.Apply([]platform.Record{{Offset: 3, Payload: order}}))
	assert.Assert(t, enforcer.Table() == nil)
	assert.NilError(t, enforcer.Apply([]platform.Record{{Offset: 5, Payload: full}}))
	assert.Equal(t, enforcer.Table().Config.Rollouts["heaters/status"].Version, "v2")
}
