package membership

// listedUnreachable returns the hosts that their observers list in their
// entries. The word of a daemon that is itself unreachable does not count.
func reportedUnreachableHosts(rows map[string]*row) map[string]bool {
	reported := unreachableReports(rows, nil)
	if len(reported) == 0 {
		return reported
	}
	return unreachableReports(rows, reported)
}

// accusations returns the hosts that any daemon lists but those distrusted.
func unreachableReports(rows map[string]*row, ignored map[string]bool) map[string]bool {
	reportedKeys := make(map[uint64]bool)
	for host, r := range rows {
		if r.state == Left || ignored[host] {
			continue
		}
		for _, id := range r.unreachableKeys {
			reportedKeys[id] = true
		}
	}
	reported := make(map[string]bool)
	if len(reportedKeys) == 0 {
		return reported
	}
	for host, r := range rows {
		if reportedKeys[r.entryKey] {
			reported[host] = true
		}
	}
	return reported
}

// regionMark is how a silent region stands among silent zones.
func regionKey(region string) string { return "region/" + region }

// zoneMap holds the living members by zone.
type zoneMap map[string]*zoneMembers

// of returns the zone of a member, empty when all of its hosts have left, the
// member itself included.
func (z zoneMap) zoneOf(self Member) *zoneMembers {
	if zone, ok := z[self.Zone]; ok {
		return zone
	}
	return &zoneMembers{zone: self.Zone, region: self.Region}
}

// livingZones groups the hosts that neither left nor are listed as
// unreachable by their own zone.
func liveZones(rows map[string]*row, unreachable map[string]bool) zoneMap {
	zones := make(zoneMap)
	for host, r := range rows {
		if r.state == Left || unreachable[host] {
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
func silentZonesFrom(own string, region string, zones zoneMap, rows map[string]*row) map[string]bool {
	silent := make(map[string]bool)
	if !anySilentZones(rows) {
		return silent
	}
	silentByZone := make(map[string]map[string]bool, len(zones))
	for name, zone := range zones {
		silentByZone[name] = agreedSilentZones(bridgesOf(zone.members), rows)
	}
	for name, zone := range zones {
		if zone.region == region && name != own && silentByZone[own][name] {
			silent[name] = true
		}
	}
	for name, zone := range zones {
		if zone.region != region && silentWithinRegion(zone, zones, silentByZone) {
			silent[name] = true
		}
	}
	for _, other := range zones.regions() {
		if other != region && isSilentRegion(own, region, other, zones, silentByZone, silent) {
			silent[regionKey(other)] = true
		}
	}
	return silent
}

// anySilence reports whether any daemon lists a zone or region.
func anySilentZones(rows map[string]*row) bool {
	for _, r := range rows {
		if len(r.silentZones) > 0 {
			return true
		}
	}
	return false
}

// agreedSilence returns what every one of some bridges lists as silent.
func agreedSilentZones(bridges []Member, rows map[string]*row) map[string]bool {
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
func silentWithinRegion(zone *zoneMembers, zones zoneMap, silentByZone map[string]map[string]bool) bool {
	witnesses := 0
	for name, other := range zones {
		if name == zone.zone || other.region != zone.region || silentByZone[zone.zone][name] {
			continue
		}
		if !silentByZone[name][zone.zone] {
			return false
		}
		witnesses++
	}
	return witnesses > 0
}

// silentRegion reports whether the zones that link a region to another one
// hear nothing of it.
func isSilentRegion(own, region, other string, zones zoneMap, silentByZone map[string]map[string]bool, silent map[string]bool) bool {
	linked := linkZones(zones.zonesIn(own, region, silent))
	for _, zone := range linked {
		if !silentByZone[zone.zone][regionKey(other)] {
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
func (z zoneMap) zonesIn(own, region string, silent map[string]bool) []*zoneMembers {
	var near []*zoneMembers
	for name, zone := range z {
		if zone.region == region && (name == own || !silent[name]) {
			near = append(near, zone)
		}
	}
	return near
}
