package membership

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// recoveryTimeout is how long a daemon waits for both the log and a peer to say
	// what its predecessor acknowledged. After that the log suffices, which holds all of it,
	// or wantedHistoryHolders peers that knew the predecessor.
	recoveryTimeout = time.Second
	// isolatedRecoveryTimeout is how long a daemon whose log does not answer waits for more
	// than one peer that knew its predecessor, and one without a log for any peer.
	isolatedRecoveryTimeout = 3 * time.Second
)

// recovery is what this daemon has heard of the history of its host's target, and who
// else holds it.
type recovery struct {
	// logRead is set once the history was read from the log, peerAnswered once
	// a peer that knows the mesh has sent what it knows of this host.
	logRead, peerAnswered bool
	// witnesses are the peers among these that knew the predecessor of this process. Others
	// may have lost their memory together with it.
	witnesses map[string]bool
	// stored holds the records that the log has acknowledged or returned, by key.
	stored map[string]targetRecord
	// publishedAt is the table's sequence number at which the history was last
	// published.
	publishedAt uint64
}

// isAlone reports whether there is neither a log nor a peer that could hold the
// history of this host.
func (m *Membership) isAlone() bool {
	return m.options.HostLog == nil && len(m.options.Seeds) == 0 && len(m.neighbours) == 0
}

// runRecovery is the task that lets the target take work once enough is known of what
// this daemon's predecessor acknowledged.
func (m *Membership) runRecovery(ctx context.Context) {
	for {
		answered := m.recoveryAnswered.Wait()
		recovered, next := m.checkRecovered()
		if recovered {
			return
		}
		timer := time.NewTimer(next)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-answered:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// checkRecovered ends the recovery if enough is known. Otherwise it returns after what
// time to check again without an answer. What is learnt later still counts.
func (m *Membership) checkRecovered() (recovered bool, next time.Duration) {
	elapsed := time.Since(m.startedAt)
	m.mu.Lock()
	r, history := &m.recovery, m.lease.history
	recovered = !m.lease.recovering || r.suffices(m.options.HostLog != nil, elapsed)
	ended := recovered && m.lease.recovering
	m.lease.recovering = !recovered
	heard := logrus.Fields{"log": r.logRead, "peers": r.peerAnswered, "witnesses": len(r.witnesses)}
	m.mu.Unlock()
	if ended {
		m.log.WithFields(heard).WithFields(logrus.Fields{"departures": len(history.departures), "drained": history.drain.drained, "after_ms": elapsed.Milliseconds()}).
			Info("history of this host's target recovered; the target may take work")
		m.updateSelf(nil)
	}
	if elapsed < recoveryTimeout {
		return recovered, recoveryTimeout - elapsed
	}
	return recovered, max(isolatedRecoveryTimeout-elapsed, recoveryTimeout)
}

// notePeerAnswer records that a peer that knows the mesh has sent what it knows of this
// host, and whether it knew the predecessor of this process. The caller holds the mutex.
func (m *Membership) notePeerAnswer(host string, witness bool) {
	m.recovery.peerAnswered = true
	if witness {
		if m.recovery.witnesses == nil {
			m.recovery.witnesses = make(map[string]bool)
		}
		m.recovery.witnesses[host] = true
	}
	m.recoveryAnswered.Notify()
}

// suffices reports whether a daemon that started elapsed ago may let its target take
// work. While a log that holds histories does not answer, the word of peers counts only if
// they knew the predecessor, and that of a single one only after a while.
func (r *recovery) suffices(hasLog bool, elapsed time.Duration) bool {
	witnesses := len(r.witnesses)
	switch {
	case !hasLog:
		return r.peerAnswered || elapsed >= isolatedRecoveryTimeout
	case r.logRead:
		return r.peerAnswered || elapsed >= recoveryTimeout
	default:
		return witnesses >= wantedHistoryHolders && elapsed >= recoveryTimeout ||
			witnesses >= minHistoryHolders && elapsed >= isolatedRecoveryTimeout
	}
}
