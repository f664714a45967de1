package admin

import "github.com/VictoriaMetrics/metrics"

// registerGauges registers gauges for the state of the daemon.
func (s *Server) registerGauges(set *metrics.Set) {
	gauges := map[string]func(Status) float64{
		"mulberrybank_configuration_offset":            func(s Status) float64 { return float64(s.Offset) },
		"mulberrybank_configuration_version":           func(s Status) float64 { return float64(s.Version) },
		"mulberrybank_configuration_staleness_seconds": stalenessSeconds,
		"mulberrybank_configuration_stopped":           stoppedValue,
		"mulberrybank_convergence_daemons":             func(s Status) float64 { return float64(s.Convergence.Living) },
		"mulberrybank_convergence_daemons_in_force":    func(s Status) float64 { return float64(s.Convergence.InForce) },
	}
	for name, value := range gauges {
		set.GetOrCreateGauge(name, func() float64 { return value(s.currentStatus()) })
	}
}

const millisPerSecond = 1000

func stalenessSeconds(status Status) float64 {
	if status.StalenessMillis == unknownStaleness {
		return unknownStaleness
	}
	return float64(status.StalenessMillis) / millisPerSecond
}

// stoppedValue is 1 when the daemon no longer applies records, otherwise 0.
func stoppedValue(status Status) float64 {
	if status.Stopped != "" {
		return 1
	}
	return 0
}
