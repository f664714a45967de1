// Package settings holds the static settings of one daemon: what it learns at
// its start and keeps until it ends. What operators publish is not here.
//
// A settings file is JSON with comments. The struct tags of the types say what
// each field may hold: "required" fields have no default, "default" gives the
// value of a field that is left out, "form" the syntax of a text, and "min" and
// "max" the range of a number, size or duration.
package settings

import "time"

// Settings of one daemon.
type Settings struct {
	// Host names the machine; no two machines bear one name at a time.
	Host   string `json:"host" required:"true" form:"name"`
	Zone   string `json:"zone" required:"true" form:"name"`
	Region string `json:"region" required:"true" form:"name"`
	Listen Listen `json:"listen"`
	// Advertise is where other daemons reach this one, if not where it listens.
	Advertise Advertise `json:"advertise"`
	// Platform is how the log is reached.
	Platform Platform `json:"platform"`
	// Peers are control addresses of a few other daemons, at best of several zones.
	Peers []string `json:"peers" form:"address"`
	// Adapter names the adapter through which callers, the target and the
	// platform are spoken to, "none" for the mesh's own interfaces.
	Adapter string  `json:"adapter" default:"none" form:"adapter"`
	Target  Target  `json:"target"`
	Retries Retries `json:"retries"`
	// FirstStart says that all daemons start for the first time, with time to learn
	// of each other before calls come.
	FirstStart string `json:"first_start" default:"off" form:"switch"`
	// Pace is how soon a silent source of configuration is left.
	Pace string `json:"pace" default:"calm" form:"pace"`
	// Keys says whether calls with keys are served. Off, no grants are written.
	Keys string `json:"keys" default:"on" form:"switch"`
	// Snapshots says whether this daemon may write snapshots to the log.
	Snapshots string `json:"snapshots" default:"on" form:"switch"`
	// Memory is what the process may use, 0B for no limit.
	Memory   Size     `json:"memory" default:"0B" min:"0B" max:"1TiB"`
	Log      Log      `json:"log"`
	Admin    Admin    `json:"admin"`
	Timeline Timeline `json:"timeline"`
	// TLS secures connections between daemons, to the platform and of operators.
	TLS TLS `json:"tls"`
	// StopLinger is how long a stop goes on taking calls of callers, which need
	// time to learn that this daemon is not ready any more.
	StopLinger Duration `json:"stop_linger" default:"0s" min:"0s" max:"10m"`
	// StopTimeout bounds a graceful stop.
	StopTimeout Duration `json:"stop_timeout" default:"10s" min:"100ms" max:"10m"`
}

// Listen holds the addresses of one daemon, each "IP:port".
type Listen struct {
	// Callers takes HTTP calls.
	Callers string `json:"callers" required:"true" form:"address"`
	// Calls takes HTTP calls from other daemons.
	Calls string `json:"calls" required:"true" form:"address"`
	// Control takes the control protocols of other daemons.
	Control string `json:"control" required:"true" form:"address"`
	// Admin serves operators, metrics and health.
	Admin string `json:"admin" required:"true" form:"address"`
	// Target takes the announcements of the target on this host.
	Target string `json:"target" required:"true" form:"address"`
	// Ready answers whether this daemon takes callers, empty for nowhere.
	Ready string `json:"ready" form:"address or nothing"`
	// Metrics serves the metrics alone, empty for nowhere.
	Metrics string `json:"metrics" form:"address or nothing"`
}

// Advertise holds addresses that other daemons are told, each "IP:port" or empty
// for that of Listen. They differ where something stands between the daemons.
type Advertise struct {
	Calls   string `json:"calls" form:"address or nothing"`
	Control string `json:"control" form:"address or nothing"`
}

// Platform is how the log service is reached.
type Platform struct {
	// Address is the base URL of the log.
	Address string `json:"address" required:"true" form:"url"`
	// Zone and Region say where the log stands, for the byte counts. Traffic
	// to a log of unknown region counts as crossing regions.
	Zone   string `json:"zone" default:"unknown" form:"name"`
	Region string `json:"region" default:"unknown" form:"name"`
	// Timeout bounds one request besides its wait.
	Timeout Duration `json:"timeout" default:"2s" min:"10ms" max:"1m"`
}

// Target is the target of this host.
type Target struct {
	// Service is the service that the target runs, empty to take any that it
	// announces.
	Service string `json:"service"`
	// Lease is how long an announcement holds without renewal.
	Lease Duration `json:"lease" default:"3s" min:"100ms" max:"10m"`
}

// Retries bounds the retries of calls besides the budget of each route.
type Retries struct {
	// Slack is how many retries of one service all daemons together may save
	// up, 0 for a fixed number on each daemon.
	Slack float64 `json:"slack" default:"0" min:"0" max:"1000000"`
	// Ratio bounds the share of its calls that the retries of one service may be
	// over all daemons, 0 for the routes' own shares.
	Ratio float64 `json:"ratio" default:"0" min:"0" max:"1"`
}

// Values of Settings.Pace.
const (
	PaceCalm  = "calm"
	PaceBrisk = "brisk"
)

// AdapterNone is the value of Settings.Adapter for the mesh's own interfaces.
const AdapterNone = "none"

// Log says what is logged.
type Log struct {
	// Level is "debug", "info", "warning" or "error".
	Level string `json:"level" default:"info" form:"level"`
}

// TLS names the files of the daemon's TLS identity. They are read again when
// they change.
type TLS struct {
	// Mode is "on", or "off" for plain text.
	Mode string `json:"mode" required:"true" form:"switch"`
	// Certificate is a PEM file. The certificate bears the DNS name "HOST.ZONE".
	Certificate string `json:"certificate" form:"file"`
	// Key is a PEM file with the private key of the certificate.
	Key string `json:"key" form:"file"`
	// Authority is a PEM file with the certificates that sign those of daemons.
	Authority string `json:"authority" form:"file"`
}

// Enabled reports whether connections are secured.
func (t TLS) Enabled() bool { return t.Mode == SwitchOn }

// Values of settings that switch something on or off.
const (
	SwitchOn  = "on"
	SwitchOff = "off"
)

// Admin limits the administration API.
type Admin struct {
	// MaxBody bounds the body of one request.
	MaxBody Size `json:"max_body" default:"1MiB" min:"1KiB" max:"64MiB"`
	// Access is "tokens" when requests need a token, or "open".
	Access string `json:"access" default:"open" form:"access"`
	// RootSHA256 is the hash of a token that may do everything, for the first
	// publication of a workspace. Empty means that there is none.
	RootSHA256 string `json:"root_sha256" form:"hash"`
	// PublishInterval is the mean time between two publications of one
	// workspace through this daemon, 0s for no limit.
	PublishInterval Duration `json:"publish_interval" default:"1s" min:"0s" max:"1h"`
	// PublishBurst is how many publications of one workspace may come at once.
	PublishBurst int `json:"publish_burst" default:"20" min:"1" max:"10000"`
}

// Timeline limits the events kept in memory.
type Timeline struct {
	// Events is how many events are kept; the oldest are dropped first.
	Events int `json:"events" default:"65536" min:"1" max:"4194304"`
}

// Values of Admin.Access.
const (
	AccessOpen   = "open"
	AccessTokens = "tokens"
)

// Default values of settings that may be left out.
const (
	DefaultPlatformTimeout = 2 * time.Second
	DefaultStopTimeout     = 10 * time.Second
	DefaultLogLevel        = "info"
)
