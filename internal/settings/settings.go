// Package settings reads the static settings of one daemon, which are set at its
// start. Configuration that operators publish is not part of them.
//
// A settings file is JSON with comments. The struct tags of the types define which
// values each field accepts: "required" fields have no default, "default" is the
// value of a field that is left out, "form" the syntax of a string, and "min" and
// "max" the range of a number, size or duration.
package settings

import "time"

// Settings are the settings of one daemon.
type Settings struct {
	// Host is the name of the machine, unique among all running machines.
	Host   string `json:"host" required:"true" form:"name"`
	Zone   string `json:"zone" required:"true" form:"name"`
	Region string `json:"region" required:"true" form:"name"`
	Listen Listen `json:"listen"`
	// Advertise contains the addresses at which other daemons reach this one, if they
	// differ from those in Listen.
	Advertise Advertise `json:"advertise"`
	// Platform locates the log service.
	Platform Platform `json:"platform"`
	// Peers are the control addresses of a few other daemons, preferably in several
	// zones.
	Peers []string `json:"peers" form:"address"`
	// Adapter names the adapter for the interfaces of callers, the target and the
	// platform, "none" for the built-in interfaces.
	Adapter string  `json:"adapter" default:"none" form:"adapter"`
	Target  Target  `json:"target"`
	Retries Retries `json:"retries"`
	Quota   Quota   `json:"quota"`
	Rollout Rollout `json:"rollout"`
	// FirstStart is "on" when all daemons start for the first time. Each then takes
	// time to discover the others before calls arrive.
	FirstStart string `json:"first_start" default:"off" form:"switch"`
	// Pace selects how soon a daemon abandons a source of configuration that does not
	// respond.
	Pace string `json:"pace" default:"calm" form:"pace"`
	// Keys is "on" when calls with idempotency keys are served. When it is "off", this
	// daemon writes no grants.
	Keys    string  `json:"keys" default:"on" form:"switch"`
	APIKeys APIKeys `json:"api_keys"`
	// Snapshots is "on" when this daemon may write snapshots to the log.
	Snapshots string `json:"snapshots" default:"on" form:"switch"`
	// Memory is the memory limit of the process, 0B for no limit.
	Memory Size `json:"memory" default:"0B" min:"0B" max:"1TiB"`
	// LinkMbps is the speed of the host's link in Mbit/s, 0 if it is not known.
	LinkMbps float64 `json:"link_mbps" default:"0" min:"0" max:"1000000"`
	// AdaptiveConcurrency is "on" when the daemon finds from the answers of its target
	// how many requests it can take, up to its announced slots.
	AdaptiveConcurrency string   `json:"adaptive_concurrency" default:"off" form:"switch"`
	Log                 Log      `json:"log"`
	Admin               Admin    `json:"admin"`
	Clients             Clients  `json:"clients"`
	Timeline            Timeline `json:"timeline"`
	// TLS configures connections between daemons, to the platform and from operators.
	TLS TLS `json:"tls"`
	// StopLinger is how long a stopping daemon still accepts calls, because callers
	// need time to notice that it is no longer ready.
	StopLinger Duration `json:"stop_linger" default:"0s" min:"0s" max:"10m"`
	// StopTimeout limits the duration of a graceful stop. Calls that are still in
	// progress after five sixths of it are aborted.
	StopTimeout Duration `json:"stop_timeout" default:"10s" min:"100ms" max:"10m"`
}

// Listen contains the listen addresses of one daemon, each "IP:port".
type Listen struct {
	// Callers accepts HTTP calls from callers.
	Callers string `json:"callers" required:"true" form:"address"`
	// Calls accepts HTTP calls from other daemons.
	Calls string `json:"calls" required:"true" form:"address"`
	// Control accepts control connections from other daemons.
	Control string `json:"control" required:"true" form:"address"`
	// Admin serves the administration API, metrics and health checks.
	Admin string `json:"admin" required:"true" form:"address"`
	// Target accepts the announcements of the target on this host.
	Target string `json:"target" required:"true" form:"address"`
	// Ready serves readiness checks, empty for no listener.
	Ready string `json:"ready" form:"address or nothing"`
	// Metrics serves only the metrics, empty for no listener.
	Metrics string `json:"metrics" form:"address or nothing"`
}

// Advertise contains the addresses that are announced to other daemons, each
// "IP:port" or empty for the address in Listen. They differ when the daemons are
// connected through a proxy or address translation.
type Advertise struct {
	Calls   string `json:"calls" form:"address or nothing"`
	Control string `json:"control" form:"address or nothing"`
}

// Platform locates the log service.
type Platform struct {
	// Address is the base URL of the log.
	Address string `json:"address" required:"true" form:"url"`
	// Zone and Region locate the log for the traffic counters. Traffic to a log in an
	// unknown region is counted as cross-region.
	Zone   string `json:"zone" default:"unknown" form:"name"`
	Region string `json:"region" default:"unknown" form:"name"`
	// Timeout limits one request, not counting the time for which a read asks the
	// log to wait.
	Timeout Duration `json:"timeout" default:"2s" min:"10ms" max:"1m"`
}

// Target configures the target on this host.
type Target struct {
	// Service is the service of the target, empty to accept any service that it
	// announces.
	Service string `json:"service"`
	// Lease is how long an announcement is valid without renewal.
	Lease Duration `json:"lease" default:"3s" min:"100ms" max:"10m"`
}

// APIKeys configures how the API keys of callers are checked.
type APIKeys struct {
	// StrictRevoke is "on" when a daemon without contact to the log must stop accepting
	// keys, which might have been revoked. That mode does not exist, so only "off" is
	// accepted.
	StrictRevoke string `json:"strict_revoke" default:"off" form:"only off"`
}

// Retries limits the retries of calls, in addition to the budget of each route.
type Retries struct {
	// Slack is how many unused retries of one service all daemons together may
	// accumulate, 0 for a fixed number on each daemon.
	Slack float64 `json:"slack" default:"0" min:"0" max:"1000000"`
	// Ratio limits the retries of one service on all daemons to a share of its calls,
	// 0 for the ratios of the routes.
	Ratio float64 `json:"ratio" default:"0" min:"0" max:"1"`
}

// Quota bounds how many requests of a client workspace run on all daemons together: in
// each Window at most (rate x Window + burst) x (1 + Overage) + Slack.
type Quota struct {
	// Window is 0s if quotas are not enforced.
	Window  Duration `json:"window" default:"0s" min:"0s" max:"10m"`
	Overage float64  `json:"overage" default:"0.1" min:"0" max:"10"`
	// Slack is in requests.
	Slack float64 `json:"slack" default:"20" min:"0" max:"1000000"`
}

// Rollout limits what a new version of a service may get before it is known to be good.
type Rollout struct {
	// CanaryShare is the share of a service's requests that a bad version may get, 0 to
	// ignore rollout orders.
	CanaryShare float64 `json:"canary_share" default:"0" min:"0" max:"1"`
	// CanarySlack is the number of requests that it may get in addition.
	CanarySlack float64 `json:"canary_slack" default:"50" min:"0" max:"1000000"`
	// Rollback is the time within which a bad version must get no more requests. It is
	// only checked: a verdict takes effect sooner than the lowest value where the
	// service has 500 requests a second or more.
	Rollback Duration `json:"rollback" default:"5s" min:"2s" max:"10m"`
}

// Values of Settings.Pace.
const (
	PaceDefault = "calm"
	PaceFast    = "brisk"
)

// AdapterNone is the value of Settings.Adapter for the built-in interfaces.
const AdapterNone = "none"

// Log configures logging.
type Log struct {
	// Level is "debug", "info", "warning" or "error".
	Level string `json:"level" default:"info" form:"level"`
}

// TLS names the files of the daemon's TLS identity. They are reloaded when they
// change.
type TLS struct {
	// Mode is "on", or "off" for connections without TLS.
	Mode string `json:"mode" required:"true" form:"switch"`
	// Certificate is a PEM file. The certificate contains the DNS name "HOST.ZONE".
	Certificate string `json:"certificate" form:"file"`
	// Key is a PEM file with the private key of the certificate.
	Key string `json:"key" form:"file"`
	// Authority is a PEM file with the CA certificates that sign those of daemons.
	Authority string `json:"authority" form:"file"`
}

// Enabled reports whether connections use TLS.
func (t TLS) Enabled() bool { return t.Mode == SwitchOn }

// Values of settings that are on or off.
const (
	SwitchOn  = "on"
	SwitchOff = "off"
)

// Admin configures access to the administration API and its limits.
type Admin struct {
	// MaxBody limits the body of one request.
	MaxBody Size `json:"max_body" default:"1MiB" min:"1KiB" max:"64MiB"`
	// Access is "tokens" when requests need a token, or "open".
	Access string `json:"access" default:"open" form:"access"`
	// RootSHA256 is the hash of a token with all permissions, for the first
	// publication of a workspace. Empty means that there is no such token.
	RootSHA256 string `json:"root_sha256" form:"hash"`
	// PublishInterval is the minimum average interval between publications of one
	// workspace through this daemon, 0s for no limit.
	PublishInterval Duration `json:"publish_interval" default:"1s" min:"0s" max:"1h"`
	// PublishBurst is how many publications of one workspace may arrive at once.
	PublishBurst int `json:"publish_burst" default:"20" min:"1" max:"10000"`
}

// Clients limits what the clients of the HTTP listeners may make the daemon hold.
type Clients struct {
	// Memory is what all clients together may hold, 0B for a sixth of Settings.Memory.
	Memory Size `json:"memory" default:"0B" min:"0B" max:"1TiB"`
	// MaxHead limits the request line and the headers of one request.
	MaxHead Size `json:"max_head" default:"20KiB" min:"4KiB" max:"1MiB"`
	// StallTimeout is the time within which a client must send 2 KiB of a body, and
	// read 32 KiB of a response.
	StallTimeout Duration `json:"stall_timeout" default:"20s" min:"1s" max:"1h"`
}

// Timeline limits the events retained in memory.
type Timeline struct {
	// Events is the maximum number of events. The oldest are dropped first.
	Events int `json:"events" default:"65536" min:"1" max:"4194304"`
}

// Values of Admin.Access.
const (
	AccessOpen   = "open"
	AccessTokens = "tokens"
)

// Defaults of optional settings, equal to those in the struct tags.
const (
	DefaultPlatformTimeout = 2 * time.Second
	DefaultStopTimeout     = 10 * time.Second
	DefaultLogLevel        = "info"
)
