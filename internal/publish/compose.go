package publish

import "maps"

// replace returns a configuration in which one workspace is replaced.
func replace(config *Configuration, workspace *Workspace) *Configuration {
	next := &Configuration{
		Version:    config.Version,
		Workspaces: maps.Clone(config.Workspaces),
		Services:   map[string]*Service{},
		Routes:     map[string]*Route{},
		Grants:     config.Grants,
	}
	next.Workspaces[workspace.Name] = workspace
	for _, each := range next.Workspaces {
		for _, service := range each.Services {
			next.Services[service.Name] = service
		}
		for _, route := range each.Routes {
			next.Routes[route.Name] = route
		}
	}
	next.Hosts = newHostTable(next.Routes)
	return next
}

// emptyConfiguration is what no record stands for.
func emptyConfiguration() *Configuration {
	return &Configuration{
		Workspaces: map[string]*Workspace{},
		Services:   map[string]*Service{},
		Routes:     map[string]*Route{},
	}
}
