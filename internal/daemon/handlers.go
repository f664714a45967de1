package daemon

import (
	"net/http"

	"github.com/mulberrybank/mulberrybank/internal/call"
)

// callerHandler handles the requests of callers.
func (d *Daemon) callerHandler() http.Handler {
	if d.adapter == nil {
		return d.calls.CallerHandler()
	}
	return d.adapter.CallerHandler(d.calls, d.enforcer, d)
}

// announceHandler handles the announcements of the target on this host.
func (d *Daemon) announceHandler() http.Handler {
	if d.adapter == nil {
		return d.members.AnnounceHandler()
	}
	return d.adapter.AnnounceHandler(d.members, d, d.logger)
}

// readyHandler handles checks of whether this daemon accepts callers. It responds
// to any request with status 200 or 503.
func (d *Daemon) readyHandler() http.Handler {
	if d.adapter != nil {
		return d.adapter.ReadinessHandler(d.Ready)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !d.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// dialect returns the protocol conventions of the target, nil for the built-in
// headers.
func (d *Daemon) dialect() call.Dialect {
	if d.adapter == nil {
		return nil
	}
	return d.adapter.Dialect()
}

// metricsHandler serves the metrics of this process in the Prometheus text format.
func (d *Daemon) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		d.metrics.WritePrometheus(w)
	})
	return mux
}
