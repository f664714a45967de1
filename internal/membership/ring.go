package membership

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// ringDegree is the number of zone neighbours that a daemon dials.
	ringDegree = 3
	// bridgesPerZone is the number of daemons that connect a zone to other zones.
	bridgesPerZone = 2
	// regionLinks is the number of zones that connect a region to each other one.
	regionLinks = 2
)

// hashedValue is a value with the hash by which it is sorted.
type hashedValue[T any] struct {
	value T
	hash  uint64
}

// byHash sorts values by the hash of their names, highest first.
func byHash[T any](values []T, name func(T) string) []T {
	hashed := make([]hashedValue[T], 0, len(values))
	for _, value := range values {
		hashed = append(hashed, hashedValue[T]{value: value, hash: xxhash.Sum64String(name(value))})
	}
	slices.SortFunc(hashed, func(a, b hashedValue[T]) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(name(a.value), name(b.value)))
	})
	sorted := make([]T, 0, len(hashed))
	for _, item := range hashed {
		sorted = append(sorted, item.value)
	}
	return sorted
}

func hostOf(m Member) string { return m.Host }

// ringOffsets returns the distances along the ring from a daemon to its
// neighbours. Distances that grow geometrically keep the number of hops to any
// member small.
func ringOffsets(size int) []int {
	step := math.Cbrt(float64(size))
	offsets := make([]int, 0, ringDegree)
	distance := 1.0
	for range ringDegree {
		offset := max(int(math.Round(distance)), len(offsets)+1)
		if offset < size {
			offsets = append(offsets, offset)
		}
		distance *= step
	}
	return offsets
}

// ringNeighbours returns the members that self dials in its zone. members are
// the live members of the zone, including self.
func ringNeighbours(self string, members []Member) []Member {
	return ringMembers(self, members, 1)
}

// ringObservers returns the members of the zone that dial self.
func ringObservers(self string, members []Member) []Member {
	return ringMembers(self, members, -1)
}

// ringSuccessors returns up to count members that follow self in the ring.
func ringSuccessors(self string, members []Member, count int) []Member {
	if count == 0 {
		return nil
	}
	ring, index := ringOf(self, members)
	var found []Member
	for offset := 1; offset <= count && offset < len(ring); offset++ {
		found = append(found, ring[(index+offset)%len(ring)])
	}
	return found
}

// ringMembers returns the members at the ring offsets from self, forwards for
// direction 1 and backwards for -1.
func ringMembers(self string, members []Member, direction int) []Member {
	ring, index := ringOf(self, members)
	var found []Member
	for _, offset := range ringOffsets(len(ring)) {
		found = append(found, ring[(index+direction*offset+len(ring))%len(ring)])
	}
	return found
}

// ringOf returns the members in ring order and the index of self. The ring is
// empty if self is not a member.
func ringOf(self string, members []Member) (ring []Member, index int) {
	ring = byHash(members, hostOf)
	index = slices.IndexFunc(ring, func(m Member) bool { return m.Host == self })
	if index < 0 {
		return nil, 0
	}
	return ring, index
}

// bridgeOrder returns the members in order of preference as bridges.
func bridgeOrder(members []Member) []Member {
	return byHash(members, func(m Member) string { return "bridge/" + m.Host })
}

// bridgesOf returns the bridges of a zone, by rank.
func bridgesOf(members []Member) []Member {
	ordered := bridgeOrder(members)
	return ordered[:min(bridgesPerZone, len(ordered))]
}

// bridgeRank returns the rank of a host among the bridges of its zone.
func bridgeRank(self string, members []Member) (rank int, ok bool) {
	rank = slices.IndexFunc(bridgesOf(members), func(m Member) bool { return m.Host == self })
	return rank, rank >= 0
}

// zoneMembers are the live members of one zone.
type zoneMembers struct {
	zone    string
	region  string
	members []Member
}

// linkOrder returns the zones of a region in order of preference as links to
// other regions.
func linkOrder(zones []*zoneMembers) []*zoneMembers {
	return byHash(zones, func(z *zoneMembers) string { return "link/" + z.zone })
}

// linkZones returns the zones that link their region to other regions.
func linkZones(zones []*zoneMembers) []*zoneMembers {
	ordered := linkOrder(zones)
	return ordered[:min(regionLinks, len(ordered))]
}

// bridgeAt returns the member of another zone that a bridge of the given rank
// dials after the given number of failed attempts at other members.
func bridgeAt(zone *zoneMembers, rank, attempt int) Member {
	ordered := bridgeOrder(zone.members)
	return ordered[(rank+attempt)%len(ordered)]
}

// linkAt returns the member of another region that a bridge of the given rank
// dials after the given number of failed attempts at other members. link is
// the rank of the bridge's zone among the link zones of its region.
func linkAt(zones []*zoneMembers, link, rank, attempt int) Member {
	ordered := linkOrder(zones)
	zone := ordered[(link+attempt)%len(ordered)]
	return bridgeAt(zone, rank, attempt/len(ordered))
}
