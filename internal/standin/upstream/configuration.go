package upstream

import "encoding/json"

// Route is a route of the operator's configuration.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	Idempotent bool   `json:"-"`
	Service    string `json:"service"`
	// Timeout and TargetLatency are in seconds.
	Timeout       float64 `json:"timeout_s"`
	TargetLatency float64 `json:"target_latency_s"`
	Priority      int     `json:"priority"`
	MaxAttempts   int     `json:"max_attempts"`
	Kind          string  `json:"route_kind"`
	// Public routes need no API key.
	Public bool `json:"public,omitempty"`
}

// Tenant is a workspace with API keys and a quota, 0 for none.
type Tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority int      `json:"priority"`
	Rate     float64  `json:"rate_per_s"`
	Burst    float64  `json:"burst"`
}

// Configuration is the operator's configuration.
type Configuration struct {
	Version  int
	Routes   []Route
	Services []string
	Tenants  []Tenant
	// MaxConnections bounds the connections to one upstream, for every service.
	MaxConnections int
}

// Encode returns the configuration in the JSON format of the platform.
func (c Configuration) Encode() ([]byte, error) {
	type service struct {
		Name     string `json:"name"`
		MaxConns int    `json:"max_conns"`
	}
	wire := struct {
		Version  int       `json:"version"`
		Routes   []Route   `json:"routes"`
		Services []service `json:"services"`
		Tenants  []Tenant  `json:"tenants,omitempty"`
	}{Version: c.Version, Tenants: c.Tenants}
	for _, route := range c.Routes {
		route.Kind = "non_idempotent"
		if route.Idempotent {
			route.Kind = "idempotent"
		}
		wire.Routes = append(wire.Routes, route)
	}
	for _, name := range c.Services {
		wire.Services = append(wire.Services, service{Name: name, MaxConns: c.MaxConnections})
	}
	return json.Marshal(wire)
}
