package membership

// listedUnreachable returns the hosts that their observers list in their
// entries. The word of a daemon that is itself unreachable does not count.
func listedUnreachable(rows map[string]*row) map[string]bool {
	accused := accusations(rows, nil)
	if len(accused) == 0 {
		return accused
	}
	return accusations(rows, accused)
}

// accusations returns the hosts that any daemon lists but those distrusted.
func accusations(rows map[string]*row, distrusted map[string]bool) map[string]bool {
	listed := make(map[uint64]bool)
	for host, r := range rows {
		if r.state == Left || distrusted[host] {
			continue
		}
		for _, id := range r.unreachable {
			listed[id] = true
		}
	}
	accused := make(map[string]bool)
	if len(listed) == 0 {
		return accused
	}
	for host, r := range rows {
		if listed[r.id] {
			accused[host] = true
		}
	}
	return accused
}

// regionMark is how a silent region stands among silent zones.
func regionMark(region string) string { return "region/" + region }

// zoneMap holds the living members by zone.
type zoneMap map[string]*zoneMembers

// of returns the zone of a member, empty when all of its hosts have left, the
// member itself included.
func (z zoneMap) of(self Member) *zoneMembers {
	if zone, ok := z[self.Zone]; ok {
		return zone
	}
	return &zoneMembers{zone: self.Zone, region: self.Region}
}

// livingZones groups the hosts that neither left nor are listed as
// unreachable by their own zone.
func livingZones(rows map[string]*row, listed map[string]bool) zoneMap {
	zones := make(zoneMap)
	for host, r := range rows {
		if r.state == Left || listed[host] {
			continue
		}
		zone, ok := zones[r.zone]
		if !ok {
			zone = &zoneMembers{zone: r.zone, region: r.region}
			zones[r.zone] = zone
		}
		zone.members = append(zone.members, r.member())
	}
	return zones
}

// silentZones returns the zones, by name, and the regions, by regionMark, of
// which nothing is heard from a zone.
func silentZones(own string, region string, zones zoneMap, rows map[string]*row) map[string]bool {
	silent := make(map[string]bool)
	if !anySilence(rows) {
		return silent
	}
	lists := make(map[string]map[string]bool, len(zones))
	for name, zone := range zones {
		lists[name] = agreedSilence(bridgesOf(zone.members), rows)
	}
	for name, zone := range zones {
		if zone.region == region && name != own && lists[own][name] {
			silent[name] = true
		}
	}
	for name, zone := range zones {
		if zone.region != region && silentInRegion(zone, zones, lists) {
			silent[name] = true
		}
	}
	for _, far := range zones.regions() {
		if far != region && silentRegion(own, region, far, zones, lists, silent) {
			silent[regionMark(far)] = true
		}
	}
	return silent
}

// anySilence reports whether any daemon lists a zone or region.
func anySilence(rows map[string]*row) bool {
	for _, r := range rows {
		if len(r.silentZones) > 0 {
			return true
		}
	}
	return false
}

// agreedSilence returns what every one of some bridges lists as silent.
func agreedSilence(bridges []Member, rows map[string]*row) map[string]bool {
	counts := make(map[string]int)
	for _, bridge := range bridges {
		for _, name := range rows[bridge.Host].silentZones {
			counts[name]++
		}
	}
	agreed := make(map[string]bool, len(counts))
	for name, count := range counts {
		if count == len(bridges) {
			agreed[name] = true
		}
	}
	return agreed
}

// silentInRegion reports whether all other zones of a zone's region hear
// nothing of it. Zones that it hears nothing of in turn have no say.
func silentInRegion(zone *zoneMembers, zones zoneMap, lists map[string]map[string]bool) bool {
	witnesses := 0
	for name, other := range zones {
		if name == zone.zone || other.region != zone.region || lists[zone.zone][name] {
			continue
		}
		if !lists[name][zone.zone] {
			return false
		}
		witnesses++
	}
	return witnesses > 0
}

// silentRegion reports whether the zones that link a region to another one
// hear nothing of it.
func silentRegion(own, region, far string, zones zoneMap, lists map[string]map[string]bool, silent map[string]bool) bool {
	linked := linkZones(zones.near(own, region, silent))
	for _, zone := range linked {
		if !lists[zone.zone][regionMark(far)] {
			return false
		}
	}
	return len(linked) > 0
}

// regions returns the names of all regions.
func (z zoneMap) regions() []string {
	seen := make(map[string]bool)
	var names []string
	for _, zone := range z {
		if !seen[zone.region] {
			seen[zone.region] = true
			names = append(names, zone.region)
		}
	}
	return names
}

// near returns the zones of a region that are heard of.
func (z zoneMap) near(own, region string, silent map[string]bool) []*zoneMembers {
	var near []*zoneMembers
	for name, zone := range z {
		if zone.region == region && (name == own || !silent[name]) {
			near = append(near, zone)
		}
	}
	return near
}
