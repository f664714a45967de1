package membership

import "github.com/VictoriaMetrics/metrics"

// membershipMetrics are the metrics of this package.
type membershipMetrics struct {
	heartbeats         *metrics.Counter
	contactFailures    *metrics.Counter
	entriesSent        *metrics.Counter
	entriesMerged      *metrics.Counter
	comparisons        *metrics.Counter
	comparisonsRefused *metrics.Counter
	probes             *metrics.Counter
	selfUpdates        *metrics.Counter
	refutations        *metrics.Counter
	leaseExpirations   *metrics.Counter
	historyStored      *metrics.Counter
	historyNotHeld     *metrics.Counter
	historyRelayed     *metrics.Counter
}

func newMetrics(set *metrics.Set, m *Membership) *membershipMetrics {
	set.NewGauge("mulberrybank_membership_hosts", func() float64 {
		return float64(m.View().Members.Len())
	})
	set.NewGauge("mulberrybank_membership_hosts_reachable", func() float64 {
		return float64(m.View().reachable())
	})
	return &membershipMetrics{
		heartbeats:         set.NewCounter("mulberrybank_membership_heartbeats_total"),
		contactFailures:    set.NewCounter("mulberrybank_membership_contact_failures_total"),
		entriesSent:        set.NewCounter("mulberrybank_membership_entries_sent_total"),
		entriesMerged:      set.NewCounter("mulberrybank_membership_entries_taken_total"),
		comparisons:        set.NewCounter("mulberrybank_membership_comparisons_total"),
		comparisonsRefused: set.NewCounter("mulberrybank_membership_comparisons_refused_total"),
		probes:             set.NewCounter("mulberrybank_membership_probes_total"),
		selfUpdates:        set.NewCounter("mulberrybank_membership_entries_written_total"),
		refutations:        set.NewCounter("mulberrybank_membership_disputes_total"),
		leaseExpirations:   set.NewCounter("mulberrybank_membership_announcement_lapses_total"),
		historyStored:      set.NewCounter("mulberrybank_membership_history_stored_total"),
		historyRelayed:     set.NewCounter("mulberrybank_membership_history_relayed_total"),
		historyNotHeld:     set.NewCounter("mulberrybank_membership_history_unacknowledged_total"),
	}
}

// reachable counts the members that are reachable and have not left.
func (v *View) reachable() int {
	count := 0
	for _, member := range v.Members.All() {
		if member.Reachability == Reachable && member.State != Left {
			count++
		}
	}
	return count
}
