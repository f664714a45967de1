package membership

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/mulberrybank/mulberrybank/internal/platform"
)

const (
	// departureCallTimeout bounds the first call to the log about departures. After
	// each failure the next one may take twice as long, up to logCallTimeout.
	departureCallTimeout = 500 * time.Millisecond
	// departureRetryInterval and maxDepartureRetryInterval are the limits of the
	// pause after a failed call.
	departureRetryInterval    = 100 * time.Millisecond
	maxDepartureRetryInterval = 2 * time.Second
	// logAckTimeout is how long an acknowledgement of a departure waits for the log
	// alone, and departureAckTimeout how long for the log or peers. The target takes
	// an answer after a second for none.
	logAckTimeout       = 400 * time.Millisecond
	departureAckTimeout = 800 * time.Millisecond
	// minDepartureHolders is the number of peers that have to hold a departure while
	// the log does not.
	minDepartureHolders = 2
)

// ErrDeparturesNotHeld is wrapped by the error for a departure that is in force on
// this daemon, but that neither the log nor enough peers have confirmed to hold. A
// restart might forget it.
var ErrDeparturesNotHeld = errors.New("departure is held by neither the log nor enough peers")

// departureKey returns the key of a departure in the departure stream. Each departure
// has a record of its own, so that writes that take effect late, twice or in another
// order lose nothing.
func departureKey(host string, d departedInstance) string {
	return fmt.Sprintf("%s%016x", departureKeyPrefix(host), xxhash.Sum64String(fmt.Sprintf("%d/%s", d.startedUnixMs, d.instance)))
}

// departureKeyPrefix returns what the keys of all departures of a host begin with.
func departureKeyPrefix(host string) string { return host + "/" }

// publishDepartures passes news of departures to the peers and to the log.
func (m *Membership) publishDepartures() {
	m.updateSelf(nil)
	m.departuresChanged.Notify()
}

// AwaitDeparturesHeld returns once the departures of this host's target would outlive
// the process: the log holds them or, while the log does not answer, several peers do.
// Otherwise the error wraps ErrDeparturesNotHeld.
func (m *Membership) AwaitDeparturesHeld(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, departureAckTimeout)
	defer cancel()
	logTimeout := time.NewTimer(logAckTimeout)
	defer logTimeout.Stop()
	logOnly := m.options.HostLog != nil
	for {
		acknowledged := m.acknowledged.Wait()
		if m.departuresHeld(logOnly) {
			return nil
		}
		select {
		case <-ctx.Done():
			m.metrics.departuresNotHeld.Inc()
			return fmt.Errorf("host %s: %w", m.options.Self.Host, ErrDeparturesNotHeld)
		case <-logTimeout.C:
			logOnly = false
		case <-acknowledged:
		}
	}
}

// departuresHeld reports whether the log, or unless logOnly enough peers, hold all
// departures.
func (m *Membership) departuresHeld(logOnly bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.lease.departures) == 0 || m.isAlone() {
		return true
	}
	if m.options.HostLog != nil && len(m.missingInLog()) == 0 {
		return true
	}
	return !logOnly && m.departureHolders() >= min(minDepartureHolders, max(1, len(m.table.rows)-1))
}

// departureHolders returns the number of connected neighbours that have acknowledged
// the entry of this host with its departures.
func (m *Membership) departureHolders() int {
	holders := 0
	for _, n := range m.neighbours {
		if n.connected && n.sentSequence >= m.recovery.publishedAt {
			holders++
		}
	}
	return holders
}

// missingInLog returns the departures, by key, that the log is not known to hold as they
// are. The caller holds the mutex.
func (m *Membership) missingInLog() map[string]departedInstance {
	missing := make(map[string]departedInstance)
	for _, d := range m.lease.departures {
		if key := departureKey(m.options.Self.Host, d); m.recovery.stored[key] != d {
			missing[key] = d
		}
	}
	return missing
}

// expiredInLog returns the keys of the departures in the log that have expired.
func (m *Membership) expiredInLog() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	expired := maps.Clone(m.recovery.stored)
	for _, d := range m.lease.departures {
		delete(expired, departureKey(m.options.Self.Host, d))
	}
	return slices.Sorted(maps.Keys(expired))
}

// runDepartureLog is the task that reads from the log which departures a predecessor
// on this host acknowledged, and keeps the departures of this host in the log. It
// repeats what fails for as long as the process runs.
func (m *Membership) runDepartureLog(ctx context.Context) {
	if m.options.HostLog == nil {
		return
	}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = departureRetryInterval, maxDepartureRetryInterval
	timeout, failed := departureCallTimeout, false
	for ctx.Err() == nil {
		changed := m.departuresChanged.Wait()
		pause := departureRetention / 2
		err := m.syncDepartures(ctx, timeout)
		switch {
		case err != nil:
			if !failed {
				m.log.WithError(err).Warn("departures of this host's target are not in step with the log; retrying")
			}
			timeout, pause = min(2*timeout, logCallTimeout), retry.NextBackOff()
		default:
			if failed {
				m.log.Info("departures of this host's target are in step with the log again")
			}
			timeout = departureCallTimeout
			retry.Reset()
		}
		failed = err != nil
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// syncDepartures writes the departures that the log lacks, reads those of a predecessor
// if that has not succeeded yet, and deletes those that have expired.
func (m *Membership) syncDepartures(ctx context.Context, timeout time.Duration) error {
	m.mu.Lock()
	missing := m.missingInLog()
	read := m.recovery.logRead
	m.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(missing)) {
		if err := m.storeDeparture(ctx, timeout, key, missing[key]); err != nil {
			return err
		}
	}
	if !read {
		if err := m.readDepartures(ctx, timeout); err != nil {
			return err
		}
	}
	for _, key := range m.expiredInLog() {
		if err := m.deleteDeparture(ctx, timeout, key); err != nil {
			return err
		}
	}
	return nil
}

// storeDeparture writes one departure to the log.
func (m *Membership) storeDeparture(ctx context.Context, timeout time.Duration, key string, d departedInstance) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	payload, err := proto.Marshal(encodeDeparture(d))
	if err != nil {
		return fmt.Errorf("encode departure of instance %q: %w", d.instance, err)
	}
	if err := m.options.HostLog.Put(ctx, platform.DepartureStream, key, payload); err != nil {
		return fmt.Errorf("store departure of instance %q: %w", d.instance, err)
	}
	m.mu.Lock()
	m.recovery.store(key, d)
	m.mu.Unlock()
	m.acknowledged.Notify()
	m.metrics.departuresStored.Inc()
	m.log.WithField("instance", d.instance).Info("departure stored in the log")
	return nil
}

// readDepartures learns the departures of this host from the log.
func (m *Membership) readDepartures(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	records, err := m.options.HostLog.NewestWithPrefix(ctx, platform.DepartureStream, departureKeyPrefix(m.options.Self.Host))
	if err != nil {
		return fmt.Errorf("read departures of host %s: %w", m.options.Self.Host, err)
	}
	var learnt departures
	m.mu.Lock()
	for _, record := range records {
		var message Departure
		if err := proto.Unmarshal(record.Payload, &message); err != nil {
			m.log.WithError(err).Warnf("skipping departure record %s of the log: cannot decode it", record.Key)
			continue
		}
		learnt = append(learnt, decodeDeparture(&message))
		m.recovery.store(record.Key, decodeDeparture(&message))
	}
	m.lease.learnDepartures(learnt, time.Now())
	m.recovery.logRead = true
	m.mu.Unlock()
	m.updateSelf(nil)
	m.recoveryAnswered.Notify()
	return nil
}

// deleteDeparture deletes one record from the log.
func (m *Membership) deleteDeparture(ctx context.Context, timeout time.Duration, key string) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := m.options.HostLog.Put(ctx, platform.DepartureStream, key, nil); err != nil {
		return fmt.Errorf("delete departure %s: %w", key, err)
	}
	m.mu.Lock()
	delete(m.recovery.stored, key)
	m.mu.Unlock()
	return nil
}

// store records that the log holds a departure under a key.
func (r *recovery) store(key string, d departedInstance) {
	if r.stored == nil {
		r.stored = make(map[string]departedInstance)
	}
	r.stored[key] = d
}
