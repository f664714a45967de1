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
	namePattern  = regexp.MustCompile(`^[a-z0-9][a-z0-9-]*$`)
	fieldPattern = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*$`)
	filePattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
)

// Validate renders a source and checks it. With a configuration it checks the
// services of other workspaces too; nil leaves them unchecked.
func Validate(source *Source, in *Configuration) []Problem {
	workspace, problems := Render(source)
	if len(problems) > 0 || in == nil {
		return problems
	}
	return checkReferences(replace(in, workspace))
}

// problems collects what checks find.
type problems []Problem

func (p *problems) add(place, format string, values ...any) {
	*p = append(*p, Problem{Place: place, Reason: fmt.Sprintf(format, values...)})
}

func (p *problems) name(place, name string, pattern *regexp.Regexp) {
	if len(name) > MaxNameBytes || !pattern.MatchString(name) {
		p.add(place, "name %q does not match %s or is longer than %d bytes", shorten(name, MaxNameBytes), pattern, MaxNameBytes)
	}
}

func (p *problems) count(place string, count, limit int) {
	if count > limit {
		p.add(place, "there are %d, at most %d are allowed", count, limit)
	}
}

func within[T cmp.Ordered](p *problems, place, field string, value, low, high T) {
	// Written so that a NaN is found too.
	if !(value >= low && value <= high) {
		p.add(place, "%s is %v, want %v to %v", field, value, low, high)
	}
}

// checkSource checks names, numbers and sizes before anything is rendered.
func checkSource(source *Source) []Problem {
	var found problems
	found.name("workspace", source.Name, namePattern)
	found.count("templates", len(source.Templates), MaxTemplates)
	found.count("parameters", len(source.Parameters), MaxParameters)
	if size := source.size(); size > MaxSourceBytes {
		found.add("workspace", "templates and parameters have %d bytes, at most %d are allowed", size, MaxSourceBytes)
	}
	if len(found) > 0 {
		return found
	}
	for _, name := range slices.Sorted(maps.Keys(source.Templates)) {
		found.name("templates", name, filePattern)
		found.count("actions of template "+name, strings.Count(source.Templates[name], "{{"), maxActions)
	}
	for _, name := range slices.Sorted(maps.Keys(source.Parameters)) {
		found.name("parameters", name, fieldPattern)
	}
	return found
}

// checkWorkspace checks a rendered workspace by itself.
func checkWorkspace(workspace *Workspace) []Problem {
	var found problems
	found.count("services", len(workspace.Services), MaxServices)
	found.count("routes", len(workspace.Routes), MaxRoutes)
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
	found.name(place, localName(service.Name), namePattern)
	within(found, place, "slots", service.Slots, 1, MaxSlots)
	within(found, place, "queue", service.Queue, 0, MaxQueue)
	within(found, place, "connections", service.Connections, 1, MaxConnections)
	within(found, place, "queue_timeout", service.QueueTimeout, 0, MaxQueueTimeout)
	within(found, place, "slow_start", service.SlowStart, 0, MaxSlowStart)
}

func checkRoute(found *problems, route *Route) {
	place := "route " + route.Name
	found.name(place, localName(route.Name), namePattern)
	found.name(place, workspaceOf(route.Service), namePattern)
	found.name(place, localName(route.Service), namePattern)
	within(found, place, "deadline", route.Deadline, MinDeadline, MaxDeadline)
	within(found, place, "objective", route.Objective, 0, MaxDeadline)
	within(found, place, "priority", route.Priority, 0, MaxPriority)
	within(found, place, "refusals", route.Refusals, 0, MaxRefusals)
	within(found, place, "retries", route.Retries, 0, MaxRetries)
	checkHost(found, place, route)
	checkSplit(found, place, route)
	within(found, place, "retry_budget", route.RetryBudget, 0.0, 1.0)
	within(found, place, "hedge", route.Hedge, 0, max(0, route.Deadline-time.Nanosecond))
	if route.Hedge > 0 && !route.Idempotent {
		found.add(place, "hedge is allowed on idempotent routes only")
	}
}

// checkHost checks how a route is reached besides its name.
func checkHost(found *problems, place string, route *Route) {
	if (route.Host == "") != (route.Prefix == "") {
		found.add(place, "host and prefix are given together or not at all")
		return
	}
	if route.Host == "" {
		return
	}
	if len(route.Host) > MaxTextBytes || strings.ContainsAny(route.Host, "/ ") {
		found.add(place, "host %q is not the host of a request", shorten(route.Host, MaxNameBytes))
	}
	if len(route.Prefix) > MaxTextBytes || !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		found.add(place, "prefix %q does not begin and end with a slash", shorten(route.Prefix, MaxNameBytes))
	}
}

// checkSplit checks the shares of a route, of which the first is its service.
func checkSplit(found *problems, place string, route *Route) {
	found.count("shares of "+place, len(route.Split), MaxShares)
	total := 0
	for _, share := range route.Split {
		within(found, place, "weight", share.Weight, 0, MaxWeight)
		total += max(share.Weight, 0)
	}
	if len(route.Split) > 0 && total == 0 {
		found.add(place, "no share has a weight")
	}
	if len(route.Split) > 0 && route.Split[0].Service != route.Service {
		found.add(place, "the first share is of %s, service is %s", route.Split[0].Service, route.Service)
	}
}

// checkReferences finds every route of any workspace without its service.
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

// shorten cuts a text to a number of bytes and keeps it valid UTF-8.
func shorten(text string, limit int) string {
	if len(text) > limit {
		text = text[:limit]
	}
	return strings.ToValidUTF8(text, "")
}

// fullName adds the workspace to a name that has none.
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
