package route

import "github.com/VictoriaMetrics/metrics"

// counters holds the metrics of one router.
type counters struct {
	local              *metrics.Counter
	remote             *metrics.Counter
	spilled            *metrics.Counter
	noTarget           *metrics.Counter
	allFull            *metrics.Counter
	ejections          *metrics.Counter
	ejectionsSuspended *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	return counters{
		local:              set.GetOrCreateCounter(`mulberrybank_route_picks_total{choice="zone"}`),
		remote:             set.GetOrCreateCounter(`mulberrybank_route_picks_total{choice="other_zone"}`),
		spilled:            set.GetOrCreateCounter(`mulberrybank_route_picks_total{choice="spilled"}`),
		noTarget:           set.GetOrCreateCounter(`mulberrybank_route_picks_total{choice="none"}`),
		allFull:            set.GetOrCreateCounter(`mulberrybank_route_picks_total{choice="full"}`),
		ejections:          set.GetOrCreateCounter(`mulberrybank_route_ejections_total`),
		ejectionsSuspended: set.GetOrCreateCounter(`mulberrybank_route_ejections_distrusted_total`),
	}
}
