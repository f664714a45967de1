package publish_test

import (
	"errors"
	"fmt"
	"math"
	"runtime"
	"strconv"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// client returns a client workspace with keys.
func client(name string, keys ...string) *publish.WholeClient {
	workspace := &publish.WholeClient{Name: name, Priority: 1, Rate: 100, Burst: 50}
	for _, key := range keys {
		hash := publish.HashKey(key)
		workspace.KeyHashes = append(workspace.KeyHashes, hash[:])
	}
	return workspace
}

func withClients(edition uint64, clients ...*publish.WholeClient) *publish.Whole {
	full := fullConfig(edition, "/a/")
	full.Clients = clients
	return full
}

// holderOf returns the name of the client workspace that holds a key, "" for none.
func holderOf(machine *publish.StateMachine, key string) string {
	clients := machine.Configuration().Workspaces["fleet"].ClientsOrNil()
	if clients == nil {
		return ""
	}
	if holder := clients.Lookup(publish.HashKey(key)); holder != nil {
		return holder.Name
	}
	return ""
}

// TestKeyOfTwoWorkspacesRefusesTheConfiguration guards against callers of one workspace
// being served as another. The refused configuration must change nothing, and its
// problems must not contain the key or its hash.
func TestKeyOfTwoWorkspacesRefusesTheConfiguration(t *testing.T) {
	machine := publish.NewStateMachine()
	applyFullConfig(t, machine, 1, withClients(1, client("wren", "k1"), client("teal", "k2")))
	verdict := applyFullConfig(t, machine, 2, withClients(2, client("wren", "k1", "k3"), client("teal", "k2", "k1"), client("kite", "k4")))
	assert.Equal(t, verdict.Outcome, publish.Refused)
	assert.Equal(t, holderOf(machine, "k1"), "wren")
	assert.Equal(t, holderOf(machine, "k3"), "")
	assert.Equal(t, holderOf(machine, "k4"), "")
	text := fmt.Sprint(verdict.Problems)
	assert.Assert(t, strings.Contains(text, "wren") && strings.Contains(text, "teal"), text)
	hash := publish.HashKey("k1")
	assert.Assert(t, !strings.Contains(text, "k1") && !strings.Contains(text, fmt.Sprintf("%x", hash)), text)
}

// TestInvalidClientWorkspacesAreRefused guards against names that cannot be sent in a
// header, hashes of another length and an empty key, which a request without a key would
// match.
func TestInvalidClientWorkspacesAreRefused(t *testing.T) {
	shortHash := client("wren")
	shortHash.KeyHashes = [][]byte{{1, 2, 3}}
	priority := client("wren", "k")
	priority.Priority = publish.MaxPriority + 1
	rate := client("wren", "k")
	rate.Rate = -1
	burst := client("wren", "k")
	burst.Burst = math.NaN()
	for name, clients := range map[string][]*publish.WholeClient{
		"no name":        {client("", "k")},
		"line break":     {client("wren\r\nX: y", "k")},
		"outer space":    {client(" wren", "k")},
		"long name":      {client(strings.Repeat("w", publish.MaxNameBytes+1), "k")},
		"same name":      {client("wren", "k"), client("wren", "l")},
		"empty key":      {client("wren", "")},
		"short hash":     {shortHash},
		"priority":       {priority},
		"negative rate":  {rate},
		"burst is NaN":   {burst},
		"same key twice": {client("wren", "k"), client("teal", "k")},
	} {
		verdict := applyFullConfig(t, publish.NewStateMachine(), 1, withClients(1, clients...))
		assert.Equal(t, verdict.Outcome, publish.Refused, name)
	}
	repeated := publish.NewStateMachine()
	assert.Equal(t, applyFullConfig(t, repeated, 1, withClients(1, client("wren", "k", "k"))).Outcome, publish.Accepted)
}

// TestKeysOfAVersionReplaceThoseBefore guards against a removed key that stays valid and
// an added key that is not, whether the version arrives in full, as a difference or in a
// snapshot.
func TestKeysOfAVersionReplaceThoseBefore(t *testing.T) {
	leader, follower := publish.NewStateMachine(), publish.NewStateMachine()
	for offset, full := range []*publish.Whole{
		withClients(1, client("wren", "old", "kept"), client("teal", "t"), client("gone", "g")),
		withClients(2, client("wren", "kept", "new"), client("teal", "t"), client("come", "c")),
	} {
		payload, err := publish.EncodeFullConfig(full)
		assert.NilError(t, err)
		record := platform.Record{Offset: uint64(offset) + 1, Payload: payload}
		_, err = leader.Apply(record)
		assert.NilError(t, err)
		compacted := leader.CompactRecord(record)
		assert.Equal(t, offset == 1, len(compacted.Payload) < len(payload), "only the second record is a difference")
		_, err = follower.Apply(compacted)
		assert.NilError(t, err)
	}
	snapshot, err := leader.Snapshot()
	assert.NilError(t, err)
	restored := publish.NewStateMachine()
	assert.NilError(t, restored.Restore(snapshot))
	for name, machine := range map[string]*publish.StateMachine{"leader": leader, "follower": follower, "restored": restored} {
		for key, want := range map[string]string{"old": "", "g": "", "kept": "wren", "new": "wren", "t": "teal", "c": "come", "": "", "x": ""} {
			assert.Equal(t, holderOf(machine, key), want, "%s, key %q", name, key)
		}
		clients := machine.Configuration().Workspaces["fleet"].Clients
		assert.DeepEqual(t, clients.Named("wren"), &publish.ClientWorkspace{Name: "wren", Priority: 1, Rate: 100, Burst: 50, Share: 1})
		assert.Assert(t, clients.Named("gone") == nil)
		assert.DeepEqual(t, machine.Digest(), leader.Digest())
	}
	// Without client workspaces no key is needed.
	applyFullConfig(t, leader, 3, withClients(3))
	assert.Assert(t, leader.Configuration().Workspaces["fleet"].Clients == nil)
}

// TestDifferenceOfClientsGivesTheSameState is TestDifferenceGivesTheSameState for client
// workspaces and public routes.
func TestDifferenceOfClientsGivesTheSameState(t *testing.T) {
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"wren", "teal", "kite", "rook"}), 0, 4, rapid.ID[string])
	rapid.Check(t, func(rt *rapid.T) {
		leader, follower := publish.NewStateMachine(), publish.NewStateMachine()
		for offset := uint64(1); offset <= 6; offset++ {
			next := withClients(offset)
			next.Routes[0].Public = rapid.Bool().Draw(rt, "public")
			for _, name := range names.Draw(rt, "names") {
				added := client(name)
				for _, n := range rapid.SliceOfN(rapid.IntRange(0, 5), 0, 4).Draw(rt, "keys") {
					hash := publish.HashKey(name + strconv.Itoa(n))
					added.KeyHashes = append(added.KeyHashes, hash[:])
				}
				added.Rate = float64(rapid.IntRange(0, 2).Draw(rt, "rate"))
				next.Clients = append(next.Clients, added)
			}
			payload, err := publish.EncodeFullConfig(next)
			assert.NilError(rt, err)
			record := platform.Record{Offset: offset, Payload: payload}
			verdict, err := leader.Apply(record)
			assert.NilError(rt, err)
			assert.Equal(rt, verdict.Outcome, publish.Accepted)
			_, err = follower.Apply(leader.CompactRecord(record))
			assert.NilError(rt, err)
			direct := publish.NewStateMachine()
			applyFullConfig(t, direct, offset, next)
			assert.DeepEqual(rt, leader.Digest(), follower.Digest())
			assert.DeepEqual(rt, leader.Digest(), direct.Digest())
			assert.Equal(rt, follower.Configuration().Routes["fleet/r-a-"].Public, next.Routes[0].Public)
			for _, workspace := range next.Clients {
				for _, hash := range workspace.KeyHashes {
					assert.Equal(rt, follower.Configuration().Workspaces["fleet"].Clients.Lookup(publish.KeyHash(hash)).Name, workspace.Name)
				}
			}
		}
	})
}

// TestDigestCoversClients guards against daemons that hold different keys or public
// routes and take each other for equal.
func TestDigestCoversClients(t *testing.T) {
	digests := map[string]string{}
	public := withClients(1, client("wren", "a"))
	public.Routes[0].Public = true
	priority := client("wren", "a")
	priority.Priority = 2
	burst := client("wren", "a")
	burst.Burst = 51
	for name, full := range map[string]*publish.Whole{
		"none": withClients(1), "one": withClients(1, client("wren", "a")), "other key": withClients(1, client("wren", "b")),
		"other name": withClients(1, client("teal", "a")), "two keys": withClients(1, client("wren", "a", "b")),
		"public": public, "priority": withClients(1, priority), "burst": withClients(1, burst),
	} {
		machine := publish.NewStateMachine()
		assert.Equal(t, applyFullConfig(t, machine, 1, full).Outcome, publish.Accepted)
		digest := string(machine.Digest())
		assert.Equal(t, digests[digest], "", "%s has the same digest", name)
		digests[digest] = name
	}
	ordered, reversed := publish.NewStateMachine(), publish.NewStateMachine()
	applyFullConfig(t, ordered, 1, withClients(1, client("teal", "t"), client("wren", "a", "b")))
	applyFullConfig(t, reversed, 1, withClients(1, client("wren", "b", "a", "b"), client("teal", "t")))
	assert.DeepEqual(t, ordered.Digest(), reversed.Digest())
}

// TestUnchangedClientsAreNotRebuilt guards against building the index of all keys again
// at each change of a route: small hosts get 30 of those within seconds.
func TestUnchangedClientsAreNotRebuilt(t *testing.T) {
	machine := publish.NewStateMachine()
	applyFullConfig(t, machine, 1, withClients(1, client("wren", "a", "b"), client("teal", "t")))
	before := machine.Configuration().Workspaces["fleet"].Clients
	routes := withClients(2, client("teal", "t"), client("wren", "b", "a"))
	routes.Routes = append(routes.Routes, fullConfig(2, "/b/").Routes...)
	assert.Equal(t, applyFullConfig(t, machine, 2, routes).Outcome, publish.Accepted)
	assert.Assert(t, machine.Configuration().Workspaces["fleet"].Clients == before)
	applyFullConfig(t, machine, 3, withClients(3, client("teal", "t"), client("wren", "b")))
	assert.Assert(t, machine.Configuration().Workspaces["fleet"].Clients != before)
	assert.Assert(t, before.Lookup(publish.HashKey("a")) != nil, "the earlier configuration is immutable")
}

// TestRecordsWithClientsHaveTheirOwnSchema guards against binaries without client
// workspaces, which would drop the keys and serve every caller. They must stop at such a
// record, and their differences must not be applied to a configuration with keys. All
// other records keep schema 1.
func TestRecordsWithClientsHaveTheirOwnSchema(t *testing.T) {
	schemaOf := func(payload []byte) uint32 {
		entry := &publish.Entry{}
		assert.NilError(t, proto.Unmarshal(payload, entry))
		return entry.GetSchema()
	}
	snapshotSchema := func(machine *publish.StateMachine) uint32 {
		encoded, err := machine.Snapshot()
		assert.NilError(t, err)
		snapshot := &publish.Snapshot{}
		assert.NilError(t, proto.Unmarshal(encoded, snapshot))
		return snapshot.GetSchema()
	}
	public := fullConfig(2, "/a/")
	public.Routes[0].Public = true
	for edition, test := range []struct {
		full *publish.Whole
		want uint32
	}{{fullConfig(1, "/a/"), 1}, {public, 2}, {withClients(3, client("wren", "a")), 2}} {
		payload, err := publish.EncodeFullConfig(test.full)
		assert.NilError(t, err)
		assert.Equal(t, schemaOf(payload), test.want, "edition %d", edition+1)
		machine := publish.NewStateMachine()
		applyFullConfig(t, machine, 1, test.full)
		assert.Equal(t, snapshotSchema(machine), test.want, "edition %d", edition+1)
	}

	machine := publish.NewStateMachine()
	applyFullConfig(t, machine, 1, withClients(1, client("wren", "a")))
	older, err := proto.Marshal(&publish.Entry{Schema: 1, Kind: &publish.Entry_WholeChange{
		WholeChange: &publish.WholeChange{Workspace: "fleet", Base: 1, Edition: 2},
	}})
	assert.NilError(t, err)
	_, err = machine.Apply(platform.Record{Offset: 2, Payload: older})
	assert.Assert(t, errors.Is(err, publish.ErrBaseMismatch), "%v", err)
	assert.Equal(t, machine.Offset(), uint64(1))
	assert.Equal(t, holderOf(machine, "a"), "wren")

	// The difference that removes the last client workspace has the schema of its base.
	last, err := publish.EncodeFullConfig(withClients(3))
	assert.NilError(t, err)
	record := platform.Record{Offset: 2, Payload: last}
	_, err = machine.Apply(record)
	assert.NilError(t, err)
	compacted := machine.CompactRecord(record)
	assert.Assert(t, len(compacted.Payload) < len(last))
	assert.Equal(t, schemaOf(compacted.Payload), uint32(2))
}

// manyClients returns client workspaces with three keys each.
func manyClients(count int) []*publish.WholeClient {
	clients := make([]*publish.WholeClient, count)
	for i := range clients {
		name := fmt.Sprintf("workspace-%05d", i)
		clients[i] = client(name, name+"-key-1", name+"-key-2", name+"-key-3")
	}
	return clients
}

// TestLargestConfigurationFits guards against a configuration of 10,000 workspaces with
// three keys each, and 2,600 routes, that is too large for a record.
func TestLargestConfigurationFits(t *testing.T) {
	full := fullConfig(1)
	for i := range 2600 {
		full.Routes = append(full.Routes, fullConfig(1, fmt.Sprintf("/route/with/a/long/path/%d/", i)).Routes...)
	}
	full.Clients = manyClients(10_000)
	machine := publish.NewStateMachine()
	assert.Equal(t, applyFullConfig(t, machine, 1, full).Outcome, publish.Accepted)
	assert.Equal(t, holderOf(machine, "workspace-09999-key-3"), "workspace-09999")
}

// TestLookupDoesNotAllocate guards against garbage for each request, also for one with
// the longest key that fits into its headers.
func TestLookupDoesNotAllocate(t *testing.T) {
	machine := publish.NewStateMachine()
	applyFullConfig(t, machine, 1, withClients(1, manyClients(80)...))
	clients := machine.Configuration().Workspaces["fleet"].Clients
	for _, key := range []string{"workspace-00042-key-2", strings.Repeat("x", 16<<10)} {
		assert.Equal(t, testing.AllocsPerRun(100, func() { _ = clients.Lookup(publish.HashKey(key)) }), 0.0)
	}
}

// BenchmarkLookup measures the lookup of a key, and the heap that one key takes in the
// index and in the state.
func BenchmarkLookup(b *testing.B) {
	for _, count := range []int{80, 10_000} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			payload, err := publish.EncodeFullConfig(withClients(1, manyClients(count)...))
			assert.NilError(b, err)
			before := heapBytes()
			machine := publish.NewStateMachine()
			_, err = machine.Apply(platform.Record{Offset: 1, Payload: payload})
			assert.NilError(b, err)
			perKey := float64(heapBytes()-before) / float64(3*count)
			clients := machine.Configuration().Workspaces["fleet"].Clients
			b.ReportAllocs()
			for b.Loop() {
				if clients.Lookup(publish.HashKey("workspace-00042-key-2")) == nil {
					b.Fatal("the key is unknown")
				}
			}
			b.ReportMetric(perKey, "B/key")
			runtime.KeepAlive(machine)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return int64(memory.HeapAlloc)
}

// BenchmarkNewVersion measures a version that changes one of 2,600 routes, or one key,
// with 80 and 10,000 client workspaces.
func BenchmarkNewVersion(b *testing.B) {
	for _, count := range []int{0, 80, 10_000} {
		for _, change := range []string{"route", "key"} {
			b.Run(fmt.Sprintf("%d/%s", count, change), func(b *testing.B) {
				machine := publish.NewStateMachine()
				full := fullConfig(1)
				for i := range 2600 {
					full.Routes = append(full.Routes, fullConfig(1, fmt.Sprintf("/%d/", i)).Routes...)
				}
				full.Clients = manyClients(count)
				applyFullConfig(b, machine, 1, full)
				for b.Loop() {
					full.Edition++
					full.Routes[0].DeadlineUs = 1e6 + full.Edition
					if change == "key" && count > 0 {
						full.Clients[0] = client(full.Clients[0].Name, strconv.FormatUint(full.Edition, 10))
					}
					payload, err := publish.EncodeFullConfig(full)
					assert.NilError(b, err)
					_, err = machine.Apply(platform.Record{Offset: full.Edition, Payload: payload})
					assert.NilError(b, err)
				}
			})
		}
	}
}
