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
	// Platform is how the log is reached.
	Platform Platform `json:"platform"`
	// Peers are control addresses of a few other daemons, at best of several zones.
	Peers    []string `json:"peers" form:"address"`
	Log      Log      `json:"log"`
	Admin    Admin    `json:"admin"`
	Timeline Timeline `json:"timeline"`
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
}

// Platform is how the log service is reached.
type Platform struct {
	// Address is the base URL of the log.
	Address string `json:"address" required:"true" form:"url"`
	// Timeout bounds one request besides its wait.
	Timeout Duration `json:"timeout" default:"2s" min:"10ms" max:"1m"`
}

// Log says what is logged.
type Log struct {
	// Level is "debug", "info", "warning" or "error".
	Level string `json:"level" default:"info" form:"level"`
}

// Admin limits the administration API.
type Admin struct {
	// MaxBody bounds the body of one request.
	MaxBody Size `json:"max_body" default:"1MiB" min:"1KiB" max:"64MiB"`
}

// Timeline limits the events kept in memory.
type Timeline struct {
	// Events is how many events are kept; the oldest are dropped first.
	Events int `json:"events" default:"65536" min:"1" max:"4194304"`
}

// Default values of settings that may be left out.
const (
	DefaultPlatformTimeout = 2 * time.Second
	DefaultStopTimeout     = 10 * time.Second
	DefaultLogLevel        = "info"
)
