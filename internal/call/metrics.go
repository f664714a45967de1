package call

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// counters of one server.
type counters struct {
	answered *metrics.Counter
	notRun   *metrics.Counter
	unknown  *metrics.Counter
	cut      *metrics.Counter
	retries  *metrics.Counter
	noBudget *metrics.Counter
	hedges   *metrics.Counter
	admitted *metrics.Counter
	refused  *metrics.Counter
	withKey  *metrics.Counter
	replayed *metrics.Counter
	// durations are the times of calls by rank, the last for all less urgent ones.
	durations [ranksShown]*metrics.Histogram
	// queue, target and peer are the times of the stages of an attempt.
	queue, target, peer *metrics.Histogram
}

// ranksShown is how many ranks of calls are told apart.
const ranksShown = 4

// took counts the time of a call of a rank.
func (c *counters) took(rank int, took time.Duration) {
	c.durations[min(max(rank, 0), ranksShown-1)].Update(took.Seconds())
}

func newCounters(set *metrics.Set) counters {
	stage := func(name string) *metrics.Histogram {
		return set.GetOrCreateHistogram(fmt.Sprintf(`mulberrybank_call_stage_seconds{stage=%q}`, name))
	}
	c := counters{
		answered: set.GetOrCreateCounter(`mulberrybank_calls_total{outcome="answered"}`),
		notRun:   set.GetOrCreateCounter(`mulberrybank_calls_total{outcome="not-run"}`),
		unknown:  set.GetOrCreateCounter(`mulberrybank_calls_total{outcome="unknown"}`),
		cut:      set.GetOrCreateCounter(`mulberrybank_calls_total{outcome="cut"}`),
		retries:  set.GetOrCreateCounter(`mulberrybank_call_retries_total`),
		hedges:   set.GetOrCreateCounter(`mulberrybank_call_hedges_total`),
		noBudget: set.GetOrCreateCounter(`mulberrybank_call_retries_over_budget_total`),
		admitted: set.GetOrCreateCounter(`mulberrybank_gate_requests_total{result="admitted"}`),
		refused:  set.GetOrCreateCounter(`mulberrybank_gate_requests_total{result="refused"}`),
		withKey:  set.GetOrCreateCounter(`mulberrybank_gate_keyed_requests_total`),
		replayed: set.GetOrCreateCounter(`mulberrybank_gate_replays_total`),
		queue:    stage("queue"),
		target:   stage("target"),
		peer:     stage("peer"),
	}
	for rank := range c.durations {
		c.durations[rank] = set.GetOrCreateHistogram(fmt.Sprintf(`mulberrybank_call_duration_seconds{rank="%d"}`, rank))
	}
	return c
}
