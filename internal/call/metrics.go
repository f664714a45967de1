package call

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// counters holds the metrics of one server.
type counters struct {
	answered *metrics.Counter
	notRun   *metrics.Counter
	unknown  *metrics.Counter
	// unknownAPIKeys counts calls refused because no workspace has their API key.
	unknownAPIKeys *metrics.Counter
	truncated      *metrics.Counter
	aborted        *metrics.Counter
	retries        *metrics.Counter
	overBudget     *metrics.Counter
	mostFull       *metrics.Counter
	hedges         *metrics.Counter
	admitted       *metrics.Counter
	refused        *metrics.Counter
	keyed          *metrics.Counter
	replayed       *metrics.Counter
	// clientsGone counts requests that were not sent on because their clients had left.
	clientsGone *metrics.Counter
	// connTimeouts counts attempts that got no connection in time.
	connTimeouts *metrics.Counter
	// peersGone counts attempts given up because their daemon was gone.
	peersGone *metrics.Counter
	// invalidResponses counts responses whose head is not valid.
	invalidResponses *metrics.Counter
	// durations holds the durations of calls by priority, the last one for that
	// and all lower priorities.
	durations [trackedPriorities]*metrics.Histogram
	// queue, target and peer hold the durations of the stages of an attempt.
	queue, target, peer *metrics.Histogram
}

// trackedPriorities is the number of priorities with a metric of their own.
const trackedPriorities = 4

// observeDuration records the duration of a call.
func (c *counters) observeDuration(priority int, duration time.Duration) {
	c.durations[min(max(priority, 0), trackedPriorities-1)].Update(duration.Seconds())
}

func newCounters(set *metrics.Set) counters {
	stage := func(name string) *metrics.Histogram {
		return set.GetOrCreateHistogram(fmt.Sprintf(`mulberrybank_call_stage_seconds{stage=%q}`, name))
	}
	c := counters{
		unknownAPIKeys:   set.GetOrCreateCounter(`mulberrybank_call_unknown_api_keys_total`),
		answered:         set.GetOrCreateCounter(`mulberrybank_calls_total{outcome="answered"}`),
		notRun:           set.GetOrCreateCounter(`mulberrybank_calls_total{outcome="not-run"}`),
		unknown:          set.GetOrCreateCounter(`mulberrybank_calls_total{outcome="unknown"}`),
		truncated:        set.GetOrCreateCounter(`mulberrybank_calls_total{outcome="cut"}`),
		aborted:          set.GetOrCreateCounter(`mulberrybank_calls_aborted_total`),
		retries:          set.GetOrCreateCounter(`mulberrybank_call_retries_total`),
		hedges:           set.GetOrCreateCounter(`mulberrybank_call_hedges_total`),
		mostFull:         set.GetOrCreateCounter(`mulberrybank_call_full_hosts_over_budget_total`),
		overBudget:       set.GetOrCreateCounter(`mulberrybank_call_retries_over_budget_total`),
		admitted:         set.GetOrCreateCounter(`mulberrybank_gate_requests_total{result="admitted"}`),
		refused:          set.GetOrCreateCounter(`mulberrybank_gate_requests_total{result="refused"}`),
		keyed:            set.GetOrCreateCounter(`mulberrybank_gate_keyed_requests_total`),
		replayed:         set.GetOrCreateCounter(`mulberrybank_gate_replays_total`),
		invalidResponses: set.GetOrCreateCounter(`mulberrybank_call_invalid_responses_total`),
		clientsGone:      set.GetOrCreateCounter(`mulberrybank_call_clients_gone_total`),
		connTimeouts:     set.GetOrCreateCounter(`mulberrybank_call_connection_timeouts_total`),
		peersGone:        set.GetOrCreateCounter(`mulberrybank_call_peers_gone_total`),
		queue:            stage("queue"),
		target:           stage("target"),
		peer:             stage("peer"),
	}
	for priority := range c.durations {
		c.durations[priority] = set.GetOrCreateHistogram(fmt.Sprintf(`mulberrybank_call_duration_seconds{rank="%d"}`, priority))
	}
	return c
}
