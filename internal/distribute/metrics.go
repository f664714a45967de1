package distribute

import (
	"errors"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mulberrybank/mulberrybank/internal/idle"
)

// counters holds the metrics of this package.
type counters struct {
	set         *metrics.Set
	reads       *metrics.Counter
	pulls       *metrics.Counter
	shed        *metrics.Counter
	divergences *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	return &counters{
		set:         set,
		reads:       set.GetOrCreateCounter("mulberrybank_log_reads_total"),
		pulls:       set.GetOrCreateCounter("mulberrybank_pulls_total"),
		shed:        set.GetOrCreateCounter("mulberrybank_catch_ups_shed_total"),
		divergences: set.GetOrCreateCounter("mulberrybank_divergences_total"),
	}
}

// registerGauges registers the metrics that are computed when they are read.
func (d *Distributor) registerGauges(set *metrics.Set) {
	set.GetOrCreateGauge("mulberrybank_followers", func() float64 { return float64(d.followers.count()) })
}

// countSourceLeft counts the end of the use of a source by its cause.
func (c *counters) countSourceLeft(source Source, err error) {
	kind := "peer"
	if source.Log {
		kind = "log"
	}
	name := `mulberrybank_sources_left_total{source="` + kind + `",cause="` + causeLabel(err) + `"}`
	c.set.GetOrCreateCounter(name).Inc()
}

// causeLabel returns the value of the label "cause" for the error that ended
// the use of a source.
func causeLabel(err error) string {
	var shed *shedError
	switch {
	case errors.Is(err, idle.ErrTimeout):
		return "silent"
	case errors.Is(err, errStreamEnded):
		return "ended"
	case errors.Is(err, errLoop):
		return "loop"
	case errors.Is(err, errApplyStopped):
		return "stopped"
	case errors.Is(err, errBetterSource):
		return "better"
	case errors.As(err, &shed):
		return "shed"
	default:
		return "error"
	}
}
