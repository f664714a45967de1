package distribute

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrybank/mulberrybank/internal/membership"
)

// readersPerZone is how many daemons of a zone may read the log.
const readersPerZone = 2

// fallbackParents is how many of the highest-ranked daemons of its zone a
// follower tries after its parents in the tree have failed.
const fallbackParents = 4

// Source is where a daemon receives records from: the log or another daemon.
type Source struct {
	// Log is set if the source is the log itself.
	Log bool
	// Host is empty for a peer that is known only by its address.
	Host    string
	Address string
}

func (s Source) String() string {
	switch {
	case s.Log:
		return "the log"
	case s.Host != "":
		return s.Host
	default:
		return s.Address
	}
}

var logSource = Source{Log: true}

// sourcePlan lists the sources that one daemon may use.
type sourcePlan struct {
	// Sources is in order of preference.
	Sources []Source
	// Reader is set if the daemon may read the log on behalf of its zone.
	Reader bool
}

// newSourcePlan returns the plan of the daemon that the view belongs to.
func newSourcePlan(view *membership.View, peers []string) sourcePlan {
	var list sourceList
	self := view.Self.Host
	zones := rankZones(view)
	own := zones[view.Self.Zone]
	rank := slices.IndexFunc(own, func(m membership.Member) bool { return m.Host == self })
	switch {
	case rank >= readersPerZone:
		list.addTreeParents(own, rank)
	case rank >= 0 && view.Members.Len() > 1:
		list.addRegionReader(zones, view.Self)
		list.addLog()
	}
	list.addOtherZones(zones, view.Self)
	if view.Members.Len() <= 1 {
		list.addPeers(peers)
	}
	list.addLog()
	return sourcePlan{Sources: list.without(self), Reader: rank < readersPerZone}
}

// rankZones returns the usable daemons of each zone, the zone's readers first.
// The order of two daemons depends only on their names, so that daemons with
// different views never follow each other within a zone.
func rankZones(view *membership.View) map[string][]membership.Member {
	zones := make(map[string][]membership.Member)
	for _, member := range view.Members.All() {
		if canServe(member) || member.Host == view.Self.Host {
			zones[member.Zone] = append(zones[member.Zone], member)
		}
	}
	if _, ok := view.Members.Get(view.Self.Host); !ok {
		zones[view.Self.Zone] = append(zones[view.Self.Zone], view.Self)
	}
	for zone, members := range zones {
		sortByScore(zone, members)
	}
	return zones
}

// canServe reports whether a daemon may be used as a source.
func canServe(member membership.Member) bool {
	return member.State == membership.Alive && member.Reachability != membership.Unreachable
}

// regionReaders returns the readers of a region's zones, starting with the one
// that reads the log.
func regionReaders(zones map[string][]membership.Member, region string) []membership.Member {
	var readers []membership.Member
	for _, members := range zones {
		if members[0].Region == region {
			readers = append(readers, members[:min(readersPerZone, len(members))]...)
		}
	}
	sortByScore(region, readers)
	return readers
}

// treeParentRank returns the rank of the parent of the daemon at a rank of its
// zone. Below the readers, one level holds about as many daemons as the square
// root of the zone's size; all others follow that level.
func treeParentRank(members []membership.Member, rank int) int {
	host := members[rank].Host
	levelEnd := readersPerZone + int(math.Ceil(math.Sqrt(float64(len(members)))))
	if rank < levelEnd {
		return indexOfHighestScore(host, members[:readersPerZone])
	}
	return readersPerZone + indexOfHighestScore(host, members[readersPerZone:levelEnd])
}

// indexOfHighestScore returns the index of the member with the highest score
// for a key.
func indexOfHighestScore(key string, members []membership.Member) int {
	best := 0
	for i := range members {
		if byScore(key, members[i], members[best]) < 0 {
			best = i
		}
	}
	return best
}

// sortByScore sorts members by rendezvous hash, highest first.
func sortByScore(key string, members []membership.Member) {
	slices.SortFunc(members, func(a, b membership.Member) int { return byScore(key, a, b) })
}

func byScore(key string, a, b membership.Member) int {
	if order := cmp.Compare(score(key, b.Host), score(key, a.Host)); order != 0 {
		return order
	}
	return cmp.Compare(a.Host, b.Host)
}

func score(key, host string) uint64 { return xxhash.Sum64String(key + "\x00" + host) }

// sourceList is a list of sources without duplicates.
type sourceList struct{ sources []Source }

func (l *sourceList) add(source Source) {
	if !slices.Contains(l.sources, source) {
		l.sources = append(l.sources, source)
	}
}

func (l *sourceList) addLog() { l.add(logSource) }

func (l *sourceList) addMember(member membership.Member) {
	l.add(Source{Host: member.Host, Address: member.ControlAddress})
}

// addTreeParents adds the ancestors in the tree, then the highest-ranked
// daemons of the zone.
func (l *sourceList) addTreeParents(members []membership.Member, rank int) {
	parent := treeParentRank(members, rank)
	l.addMember(members[parent])
	if parent >= readersPerZone {
		l.addMember(members[treeParentRank(members, parent)])
	}
	for _, member := range members[:min(fallbackParents, rank)] {
		l.addMember(member)
	}
}

// addRegionReader adds the daemon that reads the log for a region. If that is
// self, it adds the reader of a nearer region if there is one; otherwise self
// reads the log.
func (l *sourceList) addRegionReader(zones map[string][]membership.Member, self membership.Member) {
	first := regionReaders(zones, self.Region)[0]
	if first.Host != self.Host {
		l.addMember(first)
		return
	}
	if nearest := nearestRegion(zones); nearest != "" && nearest != self.Region {
		l.addMember(regionReaders(zones, nearest)[0])
	}
}

// minLatencyAdvantage is how much lower the latency from another region to the
// log must be for its reader to be followed.
const minLatencyAdvantage = 5 * time.Millisecond

// nearestRegion returns the region with the lowest latency to the log. It is
// empty while no latency is known or no region is clearly nearest.
func nearestRegion(zones map[string][]membership.Member) string {
	lowest := make(map[string]time.Duration)
	for _, members := range zones {
		for _, member := range members {
			known, found := lowest[member.Region]
			if member.LogRTT > 0 && (!found || member.LogRTT < known) {
				lowest[member.Region] = member.LogRTT
			}
		}
	}
	nearest := ""
	for region, latency := range lowest {
		if nearest == "" || latency < lowest[nearest] {
			nearest = region
		}
	}
	for region, latency := range lowest {
		if region != nearest && latency < lowest[nearest]+minLatencyAdvantage {
			return ""
		}
	}
	return nearest
}

// addOtherZones adds the readers of the other zones, starting with those of the
// own region.
func (l *sourceList) addOtherZones(zones map[string][]membership.Member, self membership.Member) {
	for _, reader := range regionReaders(zones, self.Region) {
		l.addMember(reader)
	}
	for _, region := range otherRegions(zones, self.Region) {
		for _, reader := range regionReaders(zones, region) {
			l.addMember(reader)
		}
	}
}

func (l *sourceList) addPeers(addresses []string) {
	for _, address := range addresses {
		l.add(Source{Address: address})
	}
}

// without returns the sources except those on one host.
func (l *sourceList) without(host string) []Source {
	return slices.DeleteFunc(l.sources, func(s Source) bool { return !s.Log && s.Host == host })
}

// otherRegions returns the sorted names of all regions except one.
func otherRegions(zones map[string][]membership.Member, region string) []string {
	var regions []string
	for _, members := range zones {
		if name := members[0].Region; name != region && !slices.Contains(regions, name) {
			regions = append(regions, name)
		}
	}
	slices.Sort(regions)
	return regions
}
