package call

import "github.com/VictoriaMetrics/metrics"

// counters of one server.
type counters struct {
	answered  *metrics.Counter
	notRun    *metrics.Counter
	unknown   *metrics.Counter
	cut       *metrics.Counter
	retries   *metrics.Counter
	noBudget  *metrics.Counter
	hedges    *metrics.Counter
	admitted  *metrics.Counter
	refused   *metrics.Counter
	withKey   *metrics.Counter
	replayed  *metrics.Counter
	durations *metrics.Histogram
}

func newCounters(set *metrics.Set) counters {
	return counters{
		answered:  set.GetOrCreateCounter(`mulberrybank_calls_total{outcome="answered"}`),
		notRun:    set.GetOrCreateCounter(`mulberrybank_calls_total{outcome="not-run"}`),
		unknown:   set.GetOrCreateCounter(`mulberrybank_calls_total{outcome="unknown"}`),
		cut:       set.GetOrCreateCounter(`mulberrybank_calls_total{outcome="cut"}`),
		retries:   set.GetOrCreateCounter(`mulberrybank_call_retries_total`),
		hedges:    set.GetOrCreateCounter(`mulberrybank_call_hedges_total`),
		noBudget:  set.GetOrCreateCounter(`mulberrybank_call_retries_over_budget_total`),
		admitted:  set.GetOrCreateCounter(`mulberrybank_gate_requests_total{result="admitted"}`),
		refused:   set.GetOrCreateCounter(`mulberrybank_gate_requests_total{result="refused"}`),
		withKey:   set.GetOrCreateCounter(`mulberrybank_gate_keyed_requests_total`),
		replayed:  set.GetOrCreateCounter(`mulberrybank_gate_replays_total`),
		durations: set.GetOrCreateHistogram(`mulberrybank_call_duration_seconds`),
	}
}
