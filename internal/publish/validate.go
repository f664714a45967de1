package publish

import (
	"cmp"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"
)

var (
	namePattern         = regexp.MustCompile(`^[a-z0-9][a-z0-9-]*$`)
	parameterPattern    = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*$`)
	templateNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
)

// Validate renders a source and checks it. References to services of other
// workspaces are checked against a configuration, and not at all when it is nil.
func Validate(source *Source, config *Configuration) []Problem {
	workspace, problems := Render(source)
	if len(problems) > 0 || config == nil {
		return problems
	}
	return checkReferences(withWorkspace(config, workspace))
}

// problems collects the problems that checks find.
type problems []Problem

func (p *problems) add(place, format string, values ...any) {
	*p = append(*p, Problem{Place: place, Reason: fmt.Sprintf(format, values...)})
}

func (p *problems) checkName(place, name string, pattern *regexp.Regexp) {
	if len(name) > MaxNameBytes || !pattern.MatchString(name) {
		p.add(place, "name %q does not match %s or is longer than %d bytes", truncate(name, MaxNameBytes), pattern, MaxNameBytes)
	}
}

func (p *problems) checkCount(place string, count, limit int) {
	if count > limit {
		p.add(place, "there are %d, at most %d are allowed", count, limit)
	}
}

func checkRange[T cmp.Ordered](p *problems, place, field string, value, low, high T) {
	// Negated so that NaN is out of range too.
	if !(value >= low && value <= high) {
		p.add(place, "%s is %v, want %v to %v", field, value, low, high)
	}
}

// checkSource checks names, counts and sizes before rendering.
func checkSource(source *Source) []Problem {
	var found problems
	found.checkName("workspace", source.Name, namePattern)
	found.checkCount("templates", len(source.Templates), MaxTemplates)
	found.checkCount("parameters", len(source.Parameters), MaxParameters)
	if size := source.size(); size > MaxSourceBytes {
		found.add("workspace", "templates and parameters have %d bytes, at most %d are allowed", size, MaxSourceBytes)
	}
	if len(found) > 0 {
		return found
	}
	for _, name := range slices.Sorted(maps.Keys(source.Templates)) {
		found.checkName("templates", name, templateNamePattern)
		found.checkCount("actions of template "+name, strings.Count(source.Templates[name], "{{"), maxActions)
	}
	for _, name := range slices.Sorted(maps.Keys(source.Parameters)) {
		found.checkName("parameters", name, parameterPattern)
	}
	return found
}

// checkWorkspace checks a rendered workspace without the others.
func checkWorkspace(workspace *Workspace) []Problem {
	var found problems
	found.checkCount("services", len(workspace.Services), MaxServices)
	found.checkCount("routes", len(workspace.Routes), MaxRoutes)
	checkTokens(&found, workspace.Tokens)
	services := map[string]bool{}
	for _, service := range workspace.Services {
		if services[service.Name] {
			found.add("service "+service.Name, "is defined twice")
		}
		services[service.Name] = true
		checkService(&found, service)
	}
	routes := map[string]bool{}
	for _, route := range workspace.Routes {
		if routes[route.Name] {
			found.add("route "+route.Name, "is defined twice")
		}
		routes[route.Name] = true
		checkRoute(&found, route)
		for _, service := range route.Services() {
			if workspaceOf(service) == workspace.Name && !services[service] {
				found.add("route "+route.Name, "service %s does not exist", service)
			}
		}
	}
	return found
}

func checkService(found *problems, service *Service) {
	place := "service " + service.Name
	found.checkName(place, localName(service.Name), namePattern)
	checkRange(found, place, "slots", service.Slots, 1, MaxSlots)
	checkRange(found, place, "queue", service.Queue, 0, MaxQueue)
	checkRange(found, place, "connections", service.Connections, 1, MaxConnections)
	checkRange(found, place, "queue_timeout", service.QueueTimeout, 0, MaxQueueTimeout)
	checkRange(found, place, "slow_start", service.SlowStart, 0, MaxSlowStart)
}

func checkRoute(found *problems, route *Route) {
	place := "route " + route.Name
	found.checkName(place, localName(route.Name), namePattern)
	found.checkName(place, workspaceOf(route.Service), namePattern)
	found.checkName(place, localName(route.Service), namePattern)
	checkRange(found, place, "deadline", route.Deadline, MinDeadline, MaxDeadline)
	checkRange(found, place, "objective", route.Objective, 0, MaxDeadline)
	checkRange(found, place, "priority", route.Priority, 0, MaxPriority)
	checkRange(found, place, "refusals", route.Refusals, 0, MaxRefusals)
	checkRange(found, place, "retries", route.Retries, 0, MaxRetries)
	checkHost(found, place, route)
	checkSplit(found, place, route)
	checkRange(found, place, "retry_budget", route.RetryBudget, 0.0, 1.0)
	checkRange(found, place, "hedge", route.Hedge, 0, max(0, route.Deadline-time.Nanosecond))
	if route.Hedge > 0 && !route.Idempotent {
		found.add(place, "hedge is allowed on idempotent routes only")
	}
}

// checkHost checks the host and path prefix of a route.
func checkHost(found *problems, place string, route *Route) {
	if (route.Host == "") != (route.Prefix == "") {
		found.add(place, "host and prefix are given together or not at all")
		return
	}
	if route.Host == "" {
		return
	}
	if len(route.Host) > MaxTextBytes || strings.ContainsAny(route.Host, "/ ") {
		found.add(place, "host %q is not the host of a request", truncate(route.Host, MaxNameBytes))
	}
	if len(route.Prefix) > MaxTextBytes || !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		found.add(place, "prefix %q does not begin and end with a slash", truncate(route.Prefix, MaxNameBytes))
	}
}

// checkSplit checks the shares of a route. The first one must be for the route's
// service.
func checkSplit(found *problems, place string, route *Route) {
	found.checkCount("shares of "+place, len(route.Split), MaxShares)
	total := 0
	for _, share := range route.Split {
		checkRange(found, place, "weight", share.Weight, 0, MaxWeight)
		total += max(share.Weight, 0)
	}
	if len(route.Split) > 0 && total == 0 {
		found.add(place, "no share has a weight")
	}
	if len(route.Split) > 0 && route.Split[0].Service != route.Service {
		found.add(place, "the first share is of %s, service is %s", route.Split[0].Service, route.Service)
	}
}

// checkReferences finds the routes of all workspaces whose service does not exist.
func checkReferences(config *Configuration) []Problem {
	var found problems
	for _, name := range slices.Sorted(maps.Keys(config.Routes)) {
		route := config.Routes[name]
		for _, service := range route.Services() {
			if config.Services[service] == nil {
				found.add("route "+name, "service %s does not exist", service)
			}
		}
	}
	return found
}

func problemOf(place string, err error) Problem {
	return Problem{Place: place, Reason: err.Error()}
}

// truncate cuts a text to at most limit bytes of valid UTF-8.
func truncate(text string, limit int) string {
	if len(text) > limit {
		text = text[:limit]
	}
	return strings.ToValidUTF8(text, "")
}

// fullName prefixes a name with the workspace unless it has one.
func fullName(workspace, name string) string {
	if strings.Contains(name, "/") {
		return name
	}
	return workspace + "/" + name
}

func workspaceOf(full string) string {
	workspace, _, _ := strings.Cut(full, "/")
	return workspace
}

func localName(full string) string {
	_, name, _ := strings.Cut(full, "/")
	return name
}
