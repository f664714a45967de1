package timeline

import "github.com/VictoriaMetrics/metrics"

// RegisterMetrics registers gauges of buffered and dropped events.
func (b *Buffer) RegisterMetrics(set *metrics.Set) {
	set.GetOrCreateGauge("mulberrybank_timeline_events", func() float64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		return float64(len(b.events))
	})
	set.GetOrCreateGauge("mulberrybank_timeline_events_dropped", func() float64 {
		return float64(b.Dropped())
	})
}
