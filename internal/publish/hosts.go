package publish

import "strings"

// HostTable holds routes by host, then by path prefix.
type HostTable map[string]map[string]*Route

// newHostTable collects the routes that are reached by host and prefix. Of two
// routes with one host and prefix the one whose name sorts first is taken.
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
		if other := prefixes[route.Prefix]; other == nil || route.Name < other.Name {
			prefixes[route.Prefix] = route
		}
	}
	return table
}

// Match returns the route of a host whose prefix is the longest that begins an
// escaped path, nil when there is none. Prefixes begin and end with a slash.
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
