package publish

import "maps"

// withWorkspace returns a copy of a configuration in which one workspace is
// added or replaced.
func withWorkspace(config *Configuration, workspace *Workspace) *Configuration {
	next := &Configuration{
		Version:    config.Version,
		Workspaces: maps.Clone(config.Workspaces),
		Services:   map[string]*Service{},
		Routes:     map[string]*Route{},
		Grants:     config.Grants,
		Rollouts:   config.Rollouts,
	}
	next.Workspaces[workspace.Name] = workspace
	for _, w := range next.Workspaces {
		for _, service := range w.Services {
			next.Services[service.Name] = service
		}
		for _, route := range w.Routes {
			next.Routes[route.Name] = route
		}
	}
	next.Hosts = newHostTable(next.Routes)
	return next
}

// emptyConfiguration returns the configuration before the first record.
func emptyConfiguration() *Configuration {
	return &Configuration{
		Workspaces: map[string]*Workspace{},
		Services:   map[string]*Service{},
		Routes:     map[string]*Route{},
	}
}
