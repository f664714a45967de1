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
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"github.com/mulberrybank/mulberrybank/internal/platform"
)

const (
	// historyCallTimeout bounds the first read of the history from the log. After
	// each failure the next one may take twice as long, up to logCallTimeout.
	historyCallTimeout = 500 * time.Millisecond
	// writeAgainDelay is how long a write of a record is waited for before it is made again
	// beside it, up to maxWrites times.
	writeAgainDelay = 250 * time.Millisecond
	maxWrites       = 3
	// historyRetryInterval and maxHistoryRetryInterval are the limits of the
	// pause after a failed call.
	historyRetryInterval    = 100 * time.Millisecond
	maxHistoryRetryInterval = 2 * time.Second
	// historyAckTimeout is how long an acknowledgement waits until the history is held. The
	// target takes an answer after a second for none.
	historyAckTimeout = 750 * time.Millisecond
	// peerAckTimeout is how long an acknowledgement that the log would allow waits for a
	// peer too, which tells the next process if the log is out as that starts.
	peerAckTimeout = 400 * time.Millisecond
	// wantedHistoryHolders is the number of peers that are to hold the history where
	// there is no log to do so. Once the time is up minHistoryHolders suffice, as in a zone
	// of two hosts that is cut off.
	wantedHistoryHolders = 2
	minHistoryHolders    = 1
)

// ErrHistoryNotHeld is wrapped by the error for what is in force on this daemon, but what
// the log, or enough peers where there is none, has not confirmed to hold. A restart might
// forget it.
var ErrHistoryNotHeld = errors.New("in force, but not in the log: a restart might forget it")

// departureKey returns the key of a departure. Each departure, and each request of an
// operator, has a record of its own, so that writes that take effect late, twice or in
// another order lose nothing.
func departureKey(host string, d departedInstance) string {
	return fmt.Sprintf("%s%016x", historyKeyPrefix(host), xxhash.Sum64String(fmt.Sprintf("%d/%s", d.startedUnixMs, d.instance)))
}

// drainKey returns the key of an operator's request.
func drainKey(host string, d operatorDrain) string {
	return fmt.Sprintf("%sdrain/%016x", historyKeyPrefix(host), d.revision)
}

// historyKeyPrefix returns what the keys of all records of a host begin with.
func historyKeyPrefix(host string) string { return host + "/" }

// publishHistory passes news of this host's history to the peers and to the log.
func (m *Membership) publishHistory() {
	m.updateSelf(nil)
	m.historyChanged.Notify()
}

// AwaitHistoryHeld returns once the history of this host's target would outlive the
// process, and all others: the log holds it. Where the daemon has no log, several peers do.
// Otherwise the error wraps ErrHistoryNotHeld.
func (m *Membership) AwaitHistoryHeld(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, historyAckTimeout)
	defer cancel()
	peerTimeout := time.NewTimer(peerAckTimeout)
	defer peerTimeout.Stop()
	peers := wantedHistoryHolders
	if m.options.HostLog != nil {
		peers = m.reachablePeers(1)
	}
	for {
		acknowledged := m.acknowledged.Wait()
		if m.historyHeld(peers) {
			return nil
		}
		select {
		case <-ctx.Done():
			if m.options.HostLog == nil && m.historyHeld(minHistoryHolders) {
				return nil
			}
			m.metrics.historyNotHeld.Inc()
			return fmt.Errorf("host %s: %w", m.options.Self.Host, ErrHistoryNotHeld)
		case <-peerTimeout.C:
			if m.options.HostLog != nil {
				peers = 0
			}
		case <-acknowledged:
		}
	}
}

// historyHeld reports whether the log, if there is one, and a number of peers hold the
// whole history.
func (m *Membership) historyHeld(peers int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease.history.isEmpty() || m.isAlone() {
		return true
	}
	if m.options.HostLog != nil && len(m.missingInLog()) > 0 {
		return false
	}
	return m.historyHolders() >= peers
}

// reachablePeers returns the number of connected neighbours, limit at most.
func (m *Membership) reachablePeers(limit int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	connected := 0
	for _, n := range m.neighbours {
		if n.connected {
			connected++
		}
	}
	return min(connected, limit)
}

// historyHolders returns the number of connected neighbours that have acknowledged
// the entry of this host with its history. The caller holds the mutex.
func (m *Membership) historyHolders() int {
	holders := 0
	for _, n := range m.neighbours {
		if n.connected && n.sentSequence >= m.recovery.publishedAt {
			holders++
		}
	}
	return holders
}

// missingInLog returns the records, by key, that the log is not known to hold as they
// are. The caller holds the mutex.
func (m *Membership) missingInLog() map[string]targetRecord {
	missing := m.lease.history.records(m.options.Self.Host)
	maps.DeleteFunc(missing, func(key string, r targetRecord) bool { return m.recovery.stored[key] == r })
	return missing
}

// isInLog reports whether the log is known to hold a record of the history as it is.
func (m *Membership) isInLog(key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, missing := m.missingInLog()[key]
	return !missing
}

// expiredInLog returns the keys of the records in the log that the history does not hold
// any more.
func (m *Membership) expiredInLog() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.lease.history.records(m.options.Self.Host)
	expired := maps.Clone(m.recovery.stored)
	maps.DeleteFunc(expired, func(key string, _ targetRecord) bool {
		_, found := current[key]
		return found
	})
	return slices.Sorted(maps.Keys(expired))
}

// runHistoryLog is the task that reads from the log what a predecessor on this host
// acknowledged, and keeps the history of this host's target in the log. It repeats what
// fails for as long as the process runs.
func (m *Membership) runHistoryLog(ctx context.Context) {
	if m.options.HostLog == nil {
		return
	}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = historyRetryInterval, maxHistoryRetryInterval
	timeout, failed := historyCallTimeout, false
	for ctx.Err() == nil {
		changed := m.historyChanged.Wait()
		pause := departureRetention / 2
		err := m.syncHistory(ctx, timeout)
		switch {
		case err != nil:
			if !failed {
				m.log.WithError(err).Warn("history of this host's target is not in step with the log; retrying")
			}
			timeout, pause = min(2*timeout, logCallTimeout), retry.NextBackOff()
		default:
			if failed {
				m.log.Info("history of this host's target is in step with the log again")
			}
			timeout = historyCallTimeout
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

// syncHistory writes the records that the log lacks, reads those of a predecessor if
// that has not succeeded yet, and deletes those that have expired.
func (m *Membership) syncHistory(ctx context.Context, timeout time.Duration) error {
	m.mu.Lock()
	missing := m.missingInLog()
	read := m.recovery.logRead
	m.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(missing)) {
		err := m.storeRecord(ctx, key, missing[key])
		if errors.Is(err, platform.ErrUnknown) {
			// The log may have taken the record, and then says so.
			err = errors.Join(err, m.readHistory(ctx, timeout))
			if m.isInLog(key) {
				continue
			}
		}
		if err != nil {
			return err
		}
	}
	if !read {
		if err := m.readHistory(ctx, timeout); err != nil {
			return err
		}
	}
	for _, key := range m.expiredInLog() {
		if err := m.deleteRecord(ctx, timeout, key); err != nil {
			return err
		}
	}
	return nil
}

// storeRecord writes one record to the log.
func (m *Membership) storeRecord(ctx context.Context, key string, r targetRecord) error {
	payload, err := proto.Marshal(encodeTargetRecord(r))
	if err != nil {
		return fmt.Errorf("encode record %s of the target's history: %w", key, err)
	}
	if err := m.putRecord(ctx, key, payload); err != nil {
		return fmt.Errorf("store record %s of the target's history: %w", key, err)
	}
	m.mu.Lock()
	m.recovery.store(key, r)
	m.mu.Unlock()
	m.acknowledged.Notify()
	m.metrics.historyStored.Inc()
	m.log.WithFields(logrus.Fields{"key": key, "instance": r.departure.instance, "drain": r.drain.revision}).Info("record of the target's history stored in the log")
	return nil
}

// putRecord writes a record of the history to the log. Once that fails, or gives no response
// for a while, another daemon is asked to write it too, and then it is written once more: each
// response may be lost, or only be slow. Writes that take effect more than once change nothing.
func (m *Membership) putRecord(ctx context.Context, key string, payload []byte) error {
	ctx, cancel := context.WithTimeout(ctx, logCallTimeout)
	var writes conc.WaitGroup
	defer writes.Wait()
	defer cancel()
	results := make(chan error, maxWrites)
	begun := 0
	begin := func(write func() error) {
		begun++
		writes.Go(func() { results <- write() })
	}
	direct := func() error { return m.options.HostLog.Put(ctx, platform.TargetHistoryStream, key, payload) }
	relayed := func() error { return m.relayRecord(ctx, key, payload) }
	again := time.NewTicker(writeAgainDelay)
	defer again.Stop()
	begin(direct)
	var failed error
	for ended := 0; ended < begun; {
		select {
		case err := <-results:
			if err == nil {
				return nil
			}
			failed = errors.Join(failed, err)
			ended++
			if begun == 1 {
				begin(relayed)
			}
		case <-again.C:
			switch {
			case begun == 1:
				begin(relayed)
			case begun < maxWrites:
				begin(direct)
			}
		}
	}
	return failed
}

// readHistory learns from the log what is known of this host's target.
func (m *Membership) readHistory(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	records, err := m.options.HostLog.NewestWithPrefix(ctx, platform.TargetHistoryStream, historyKeyPrefix(m.options.Self.Host))
	if err != nil {
		return fmt.Errorf("read history of the target on host %s: %w", m.options.Self.Host, err)
	}
	decoded := m.decodeRecords(records)
	now := time.Now()
	m.mu.Lock()
	for key, record := range decoded {
		m.recovery.store(key, record)
		m.lease.learnHistory(targetHistory{}.add(record, now), now)
	}
	m.recovery.logRead = true
	m.mu.Unlock()
	m.updateSelf(nil)
	m.recoveryAnswered.Notify()
	m.acknowledged.Notify()
	return nil
}

// decodeRecords returns the records that can be decoded, by key.
func (m *Membership) decodeRecords(records []platform.KeyedRecord) map[string]targetRecord {
	decoded := make(map[string]targetRecord, len(records))
	for _, record := range records {
		var message TargetRecord
		if err := proto.Unmarshal(record.Payload, &message); err != nil {
			m.log.WithError(err).Warnf("skipping record %s of the target's history: cannot decode it", record.Key)
			continue
		}
		decoded[record.Key] = decodeTargetRecord(&message)
	}
	return decoded
}

// deleteRecord deletes one record from the log.
func (m *Membership) deleteRecord(ctx context.Context, timeout time.Duration, key string) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := m.options.HostLog.Put(ctx, platform.TargetHistoryStream, key, nil); err != nil {
		return fmt.Errorf("delete record %s of the target's history: %w", key, err)
	}
	m.mu.Lock()
	delete(m.recovery.stored, key)
	m.mu.Unlock()
	return nil
}

// store records what the log holds under a key.
func (r *recovery) store(key string, record targetRecord) {
	if r.stored == nil {
		r.stored = make(map[string]targetRecord)
	}
	r.stored[key] = record
}
