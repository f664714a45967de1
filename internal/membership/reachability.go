package membership

// reports holds what daemons list as unreachable in their entries.
type reports struct {
	// hosts are the hosts so listed, keys the keys of all entries so listed. Reports of
	// daemons that are themselves listed are ignored.
	hosts map[string]bool
	keys  map[uint64]bool
	// ignored holds the keys of the entries that any daemon lists.
	ignored map[uint64]bool
}

// unreachableHosts returns the reports of all rows.
func unreachableHosts(rows map[string]*row) reports {
	hosts, ignored := unreachableReports(rows, nil)
	if len(hosts) == 0 {
		return reports{hosts: hosts, keys: ignored, ignored: ignored}
	}
	hosts, keys := unreachableReports(rows, hosts)
	return reports{hosts: hosts, keys: keys, ignored: ignored}
}

// unreachableReports returns the hosts that any daemon lists as unreachable,
// without the reports of the ignored daemons, and the keys of all entries so listed.
func unreachableReports(rows map[string]*row, ignored map[string]bool) (hosts map[string]bool, keys map[uint64]bool) {
	hosts, keys = make(map[string]bool), make(map[uint64]bool)
	for host, r := range rows {
		if r.state == Left || ignored[host] {
			continue
		}
		for _, key := range r.unreachableKeys {
			keys[key] = true
		}
	}
	if len(keys) == 0 {
		return hosts, keys
	}
	for host, r := range rows {
		if keys[r.entryKey] {
			hosts[host] = true
		}
	}
	return hosts, keys
}

// regionKey returns the name under which a region is listed among zones.
func regionKey(region string) string { return "region/" + region }

// zoneMap holds the live members by zone.
type zoneMap map[string]*zoneMembers

// zoneOf returns the zone of a member. It has no members if all of its hosts
// have left, including the given one.
func (z zoneMap) zoneOf(self Member) *zoneMembers {
	if zone, ok := z[self.Zone]; ok {
		return zone
	}
	return &zoneMembers{zone: self.Zone, region: self.Region}
}

// liveZones groups by zone the hosts that neither left nor are unreachable.
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

// silentZonesFrom returns the zones, by name, and the regions, by regionKey,
// from which nothing reaches a zone, according to the bridges.
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

// anySilentZones reports whether any daemon lists a silent zone or region.
func anySilentZones(rows map[string]*row) bool {
	for _, r := range rows {
		if len(r.silentZones) > 0 {
			return true
		}
	}
	return false
}

// agreedSilentZones returns the zones and regions that all of the bridges list
// as silent.
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

// silentWithinRegion reports whether all other zones of a zone's region hear
// nothing from it. Zones from which it hears nothing in turn do not count.
func silentWithinRegion(zone *zoneMembers, zones zoneMap, silentByZone map[string]map[string]bool) bool {
	reporting := 0
	for name, other := range zones {
		if name == zone.zone || other.region != zone.region || silentByZone[zone.zone][name] {
			continue
		}
		if !silentByZone[name][zone.zone] {
			return false
		}
		reporting++
	}
	return reporting > 0
}

// isSilentRegion reports whether all zones that link a region to another one
// hear nothing from that other region.
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

// zonesIn returns the zones of a region that are not silent. The zone own is
// always included.
func (z zoneMap) zonesIn(own, region string, silent map[string]bool) []*zoneMembers {
	var found []*zoneMembers
	for name, zone := range z {
		if zone.region == region && (name == own || !silent[name]) {
			found = append(found, zone)
		}
	}
	return found
}
