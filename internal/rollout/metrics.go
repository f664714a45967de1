package rollout

import "github.com/VictoriaMetrics/metrics"

// counters are the counters of Rollouts.
type counters struct {
	sentOld, sentNew     *metrics.Counter
	reports, reportsLost *metrics.Counter
	completed, reverted  *metrics.Counter
	writes, writesFailed *metrics.Counter
	held                 *metrics.Counter
	suspended            *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	return counters{
		sentOld:      set.NewCounter(`mulberrybank_rollout_attempts_total{version="old"}`),
		sentNew:      set.NewCounter(`mulberrybank_rollout_attempts_total{version="new"}`),
		reports:      set.NewCounter(`mulberrybank_rollout_reports_total{result="answered"}`),
		reportsLost:  set.NewCounter(`mulberrybank_rollout_reports_total{result="failed"}`),
		completed:    set.NewCounter(`mulberrybank_rollout_verdicts_total{state="completed"}`),
		reverted:     set.NewCounter(`mulberrybank_rollout_verdicts_total{state="reverted"}`),
		writes:       set.NewCounter(`mulberrybank_rollout_status_writes_total{result="recorded"}`),
		writesFailed: set.NewCounter(`mulberrybank_rollout_status_writes_total{result="failed"}`),
		suspended:    set.NewCounter(`mulberrybank_rollout_suspended_total`),
		held:         set.NewCounter(`mulberrybank_rollout_versions_held_total`),
	}
}
