package publish

import "strings"

// HostTable maps a host and a path prefix to a route.
type HostTable map[string]map[string]*Route

// newHostTable collects the routes that have a host and a prefix. Of two routes
// with the same host and prefix, the one whose name sorts first is used.
func newHostTable(routes map[string]*Route) HostTable {
	table := make(HostTable)
	for _, route := range routes {
		if route.Host == "" {
			continue
		}
		prefixes := table[route.Host]
		if prefixes == nil {
			prefixes = make(map[string]*Route)
			table[route.Host] = prefixes
		}
		if existing := prefixes[route.Prefix]; existing == nil || route.Name < existing.Name {
			prefixes[route.Prefix] = route
		}
	}
	return table
}

// Match returns the route of a host with the longest prefix of an escaped path, nil
// when there is none. Prefixes begin and end with a slash.
func (c *Configuration) Match(host, path string) *Route {
	prefixes := c.Hosts[host]
	if prefixes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := prefixes[path[:end+1]]; route != nil {
			return route
		}
	}
	return nil
}
