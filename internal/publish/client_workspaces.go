package publish

import (
	"bytes"
	"crypto/sha256"
	"iter"
	"maps"
	"math"
	"slices"
	"unsafe"
)

// KeyHash is the SHA-256 hash of an API key. Keys themselves are never stored.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash {
	// The bytes are only read; a conversion would allocate a copy of a long key.
	return sha256.Sum256(unsafe.Slice(unsafe.StringData(key), len(key)))
}

// ClientWorkspace is a workspace whose callers present an API key.
type ClientWorkspace struct {
	// Name is unique within its configuration.
	Name string
	// Priority replaces the priority of the routes that it calls, 0 the highest.
	Priority int
	// Rate is the quota of the workspace over all daemons in requests a second, 0 for
	// no limit.
	Rate float64
	// Burst is the number of requests that may exceed Rate at once.
	Burst float64
	// Share is the share of the workspace at a gate relative to the others, from MinShare
	// to MaxShare: its Rate divided by the mean of those that have one, 1 without a Rate.
	Share float64
}

// Limits of ClientWorkspace.Share.
const (
	MinShare = 0.01
	MaxShare = 100.0
)

// ClientWorkspaces holds the client workspaces of a configuration. It is immutable.
type ClientWorkspaces struct {
	byKey  map[KeyHash]*ClientWorkspace
	byName map[string]*ClientWorkspace
}

// Lookup returns the client workspace that holds a key, nil if there is none.
func (c *ClientWorkspaces) Lookup(key KeyHash) *ClientWorkspace { return c.byKey[key] }

// Named returns the client workspace with a name, nil if there is none.
func (c *ClientWorkspaces) Named(name string) *ClientWorkspace { return c.byName[name] }

// Keys returns the key hashes with the client workspaces that hold them, in no order. The
// receiver may be nil.
func (c *ClientWorkspaces) Keys() iter.Seq2[KeyHash, *ClientWorkspace] {
	if c == nil {
		return maps.All(map[KeyHash]*ClientWorkspace(nil))
	}
	return maps.All(c.byKey)
}

// All returns the client workspaces in no order. The receiver may be nil.
func (c *ClientWorkspaces) All() iter.Seq[*ClientWorkspace] {
	if c == nil {
		return maps.Values(map[string]*ClientWorkspace(nil))
	}
	return maps.Values(c.byName)
}

// ClientsOrNil returns the client workspaces, nil also for a workspace that does not
// exist.
func (w *Workspace) ClientsOrNil() *ClientWorkspaces {
	if w == nil {
		return nil
	}
	return w.Clients
}

// renderClients converts the client workspaces of a full configuration. It returns
// those of the previous one if they are equal, so that a configuration that changes
// nothing but routes does not build the index again.
func renderClients(wire, previousWire []*WholeClient, previous *ClientWorkspaces) *ClientWorkspaces {
	if len(wire) == 0 {
		return nil
	}
	if previous != nil && equalClients(wire, previousWire) {
		return previous
	}
	keys := 0
	for _, client := range wire {
		keys += len(client.GetKeyHashes())
	}
	mean := meanRate(wire)
	rendered := &ClientWorkspaces{
		byKey:  make(map[KeyHash]*ClientWorkspace, keys),
		byName: make(map[string]*ClientWorkspace, len(wire)),
	}
	for _, client := range wire {
		workspace := &ClientWorkspace{
			Name:     client.GetName(),
			Priority: int(client.GetPriority()),
			Rate:     client.GetRate(),
			Burst:    client.GetBurst(),
			Share:    1,
		}
		if workspace.Rate > 0 {
			workspace.Share = min(max(workspace.Rate/mean, MinShare), MaxShare)
		}
		rendered.byName[workspace.Name] = workspace
		for _, hash := range client.GetKeyHashes() {
			rendered.byKey[KeyHash(hash)] = workspace
		}
	}
	return rendered
}

// meanRate returns the mean rate of the client workspaces that have one.
func meanRate(clients []*WholeClient) float64 {
	sum, count := 0.0, 0.0
	for _, client := range clients {
		if client.GetRate() > 0 {
			sum += client.GetRate()
			count++
		}
	}
	return sum / max(count, 1)
}

func equalClients(a, b []*WholeClient) bool { return slices.EqualFunc(a, b, equalClient) }

// equalClient is proto.Equal for client workspaces, without reflection: it runs for each
// client workspace at each new configuration.
func equalClient(a, b *WholeClient) bool {
	return a.GetName() == b.GetName() && a.GetPriority() == b.GetPriority() &&
		a.GetRate() == b.GetRate() && a.GetBurst() == b.GetBurst() &&
		slices.EqualFunc(a.GetKeyHashes(), b.GetKeyHashes(), bytes.Equal)
}

// canonicalClients returns the client workspaces sorted by name, each with its hashes
// sorted and without repetitions.
func canonicalClients(clients []*WholeClient) []*WholeClient {
	if len(clients) == 0 {
		return nil
	}
	sorted := make([]*WholeClient, len(clients))
	for i, client := range clients {
		if hasSortedHashes(client) {
			sorted[i] = client
			continue
		}
		hashes := slices.Clone(client.GetKeyHashes())
		slices.SortFunc(hashes, bytes.Compare)
		sorted[i] = &WholeClient{
			Name:      client.GetName(),
			KeyHashes: slices.CompactFunc(hashes, bytes.Equal),
			Priority:  client.GetPriority(),
			Rate:      client.GetRate(),
			Burst:     client.GetBurst(),
		}
	}
	sortByName(sorted)
	return sorted
}

// hasSortedHashes reports whether the hashes of a client workspace are sorted and
// without repetitions.
func hasSortedHashes(client *WholeClient) bool {
	hashes := client.GetKeyHashes()
	for i := 1; i < len(hashes); i++ {
		if bytes.Compare(hashes[i-1], hashes[i]) >= 0 {
			return false
		}
	}
	return true
}

// emptyKeyHash is the hash of a key without characters, which no caller may present.
var emptyKeyHash = HashKey("")

// checkClients checks the client workspaces of a full configuration. The problems name
// workspaces, never a key or its hash.
func checkClients(clients []*WholeClient) []Problem {
	var found problems
	holders := make(map[KeyHash]string)
	names := make(map[string]bool, len(clients))
	for _, client := range clients {
		name := client.GetName()
		place := "client workspace " + truncate(name, MaxNameBytes)
		if !validClientName(name) {
			found.add(place, "name is empty, longer than %d bytes or not valid in a header", MaxNameBytes)
		}
		if names[name] {
			found.add(place, "is defined twice")
		}
		names[name] = true
		checkRange(&found, place, "priority", client.GetPriority(), 0, MaxPriority)
		checkRange(&found, place, "rate", client.GetRate(), 0, math.MaxFloat64)
		checkRange(&found, place, "burst", client.GetBurst(), 0, math.MaxFloat64)
		checkKeyHashes(&found, place, client, holders)
	}
	return found
}

// checkKeyHashes checks the key hashes of one client workspace and adds them to holders,
// the names of the workspaces by hash.
func checkKeyHashes(found *problems, place string, client *WholeClient, holders map[KeyHash]string) {
	for _, wire := range client.GetKeyHashes() {
		if len(wire) != len(KeyHash{}) {
			found.add(place, "a key hash has %d bytes, want %d", len(wire), len(KeyHash{}))
			continue
		}
		hash := KeyHash(wire)
		if hash == emptyKeyHash {
			found.add(place, "has an empty key")
			continue
		}
		if holder, taken := holders[hash]; taken && holder != client.GetName() {
			found.add(place, "has a key that client workspace %s has too", truncate(holder, MaxNameBytes))
		}
		holders[hash] = client.GetName()
	}
}

// validClientName reports whether a name can be the value of a header: it has no control
// characters and no space at its ends.
func validClientName(name string) bool {
	if name == "" || len(name) > MaxNameBytes || name[0] == ' ' || name[len(name)-1] == ' ' {
		return false
	}
	for i := range len(name) {
		if name[i] < ' ' || name[i] == 0x7f {
			return false
		}
	}
	return true
}

// schemaOfFullConfig returns the schema number of records that hold a full
// configuration. A binary that knows only schema 1 would drop the API keys and serve
// every caller, so it must stop at such a record.
func schemaOfFullConfig(full *Whole) uint32 {
	isPublic := func(route *WholeRoute) bool { return route.GetPublic() }
	if len(full.GetClients()) > 0 || slices.ContainsFunc(full.GetRoutes(), isPublic) {
		return clientsSchema
	}
	return baseSchema
}

// schemaOfChange returns the schema number of a difference between two full
// configurations.
func schemaOfChange(base, next *Whole) uint32 {
	return max(schemaOfFullConfig(base), schemaOfFullConfig(next))
}
