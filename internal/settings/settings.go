// Package settings holds the static settings of one daemon: what it learns at
// its start and keeps until it ends. What operators publish is not here.
package settings

import "time"

// Settings of one daemon.
type Settings struct {
	// Host names the machine; no two machines bear one name at a time.
	Host   string `json:"host"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	Listen Listen `json:"listen"`
	// Platform is how the log is reached.
	Platform Platform `json:"platform"`
	// Peers are control addresses of a few other daemons, at best of several zones.
	Peers []string `json:"peers"`
	Log   Log      `json:"log"`
	// StopTimeout bounds a graceful stop.
	StopTimeout Duration `json:"stop_timeout"`
}

// Listen holds the addresses of one daemon, each "IP:port".
type Listen struct {
	// Callers takes HTTP calls.
	Callers string `json:"callers"`
	// Calls takes HTTP calls from other daemons.
	Calls string `json:"calls"`
	// Control takes the control protocols of other daemons.
	Control string `json:"control"`
	// Admin serves operators, metrics and health.
	Admin string `json:"admin"`
	// Target takes the announcements of the target on this host.
	Target string `json:"target"`
}

// Platform is how the log service is reached.
type Platform struct {
	// Address is the base URL of the log.
	Address string `json:"address"`
	// Timeout bounds one request besides its wait.
	Timeout Duration `json:"timeout"`
}

// Log says what is logged.
type Log struct {
	// Level is "debug", "info", "warning" or "error".
	Level string `json:"level"`
}

// Duration is a time span written with a unit, such as "250ms".
type Duration time.Duration

// Default values of settings that may be left out.
const (
	DefaultPlatformTimeout = 2 * time.Second
	DefaultStopTimeout     = 10 * time.Second
	DefaultLogLevel        = "info"
)
