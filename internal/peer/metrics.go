package peer

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// Metric names.
const (
	bytesMetric   = "mulberrybank_control_bytes_total"
	refusedMetric = "mulberrybank_connections_refused_total"
)

// RegisterMetrics adds the control bytes by kind, scope and direction to a metric
// set.
func (t *TrafficCounter) RegisterMetrics(set *metrics.Set) {
	set.RegisterMetricsWriter(func(w io.Writer) {
		counts := t.Snapshot()
		for _, class := range sortedClasses(counts) {
			writeBytes(w, class, "sent", counts[class].Sent)
			writeBytes(w, class, "received", counts[class].Received)
		}
	})
}

func sortedClasses(counts map[TrafficClass]ByteCounts) []TrafficClass {
	var classes []TrafficClass
	for class := range counts {
		classes = append(classes, class)
	}
	slices.SortFunc(classes, func(a, b TrafficClass) int {
		return strings.Compare(a.Kind+a.Scope.String(), b.Kind+b.Scope.String())
	})
	return classes
}

func writeBytes(w io.Writer, class TrafficClass, direction string, bytes uint64) {
	name := fmt.Sprintf("%s{kind=%q,scope=%q,direction=%q}", bytesMetric, class.Kind, class.Scope, direction)
	metrics.WriteCounterUint64(w, name, bytes)
}

// RegisterMetrics adds the count of refused connections to a metric set.
func (s *Server) RegisterMetrics(set *metrics.Set) {
	set.RegisterMetricsWriter(func(w io.Writer) {
		metrics.WriteCounterUint64(w, refusedMetric, s.limiter.refused.Load())
	})
}
