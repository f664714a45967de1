package peer

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// Names of the metrics.
const (
	sentMetric     = "mulberrybank_control_bytes_sent_total"
	receivedMetric = "mulberrybank_control_bytes_received_total"
	refusedMetric  = "mulberrybank_connections_refused_total"
)

// Register adds the byte counts to a set of metrics.
func (t *Traffic) Register(set *metrics.Set) {
	set.RegisterMetricsWriter(func(w io.Writer) {
		for class, bytes := range t.Snapshot() {
			labels := fmt.Sprintf(`{kind=%q,scope=%q}`, class.Kind, class.Scope.String())
			metrics.WriteCounterUint64(w, sentMetric+labels, bytes.Sent)
			metrics.WriteCounterUint64(w, receivedMetric+labels, bytes.Received)
		}
	})
}

// RegisterMetrics adds the count of refused connections to a set of metrics.
func (s *Server) RegisterMetrics(set *metrics.Set) {
	set.RegisterMetricsWriter(func(w io.Writer) {
		metrics.WriteCounterUint64(w, refusedMetric, s.gate.refused.Load())
	})
}
