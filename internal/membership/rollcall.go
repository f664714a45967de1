package membership

import (
	"context"
	"fmt"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

const (
	// rollRetry is the time between attempts to reach the log at a start.
	rollRetry = 500 * time.Millisecond
	// rollInterval is the time between looks at the log while nobody answers.
	rollInterval = 2 * time.Second
	// rollTimeout bounds one call to the log.
	rollTimeout = 2 * time.Second
	// rollEraseTimeout bounds the last call of a host that stops, which must not
	// prolong the stop while the log is silent.
	rollEraseTimeout = 300 * time.Millisecond
	// maxRollSeeds bounds the hosts of the log that are tried as seeds.
	maxRollSeeds = 64
)

// keepRoll is the task that writes this host's record to the log and learns of
// other hosts there, while no peer answers. Liveness is left to heartbeats.
func (m *Membership) keepRoll(ctx context.Context) {
	if m.options.Hosts == nil {
		return
	}
	written := false
	for ctx.Err() == nil {
		interval := rollInterval
		if !written {
			err := m.writeRoll(ctx)
			written = err == nil
			if err != nil {
				m.log.WithError(err).Warn("this host is not on the log yet")
				interval = rollRetry
			}
		}
		if !m.hasPeers() {
			if err := m.readRoll(ctx); err != nil {
				m.log.WithError(err).Warn("hosts were not read from the log")
				interval = rollRetry
			}
		}
		if !wait.For(ctx, jitter(interval)) {
			return
		}
	}
}

// writeRoll puts this host's control address under its name.
func (m *Membership) writeRoll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, rollTimeout)
	defer cancel()
	self := m.options.Self
	if err := m.options.Hosts.Put(ctx, platform.HostStream, self.Host, []byte(self.ControlAddress)); err != nil {
		return fmt.Errorf("write host %s: %w", self.Host, err)
	}
	return nil
}

// eraseRoll drops this host's record.
func (m *Membership) eraseRoll(ctx context.Context) {
	if m.options.Hosts == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rollEraseTimeout)
	defer cancel()
	if err := m.options.Hosts.Put(ctx, platform.HostStream, m.options.Self.Host, nil); err != nil {
		m.log.WithError(err).Debug("the record of this host stays on the log")
	}
}

// readRoll takes the hosts of the log as seeds, the newest first.
func (m *Membership) readRoll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, rollTimeout)
	defer cancel()
	records, _, err := m.options.Hosts.Newest(ctx, platform.HostStream)
	if err != nil {
		return fmt.Errorf("read hosts: %w", err)
	}
	var seeds []string
	for i := len(records) - 1; i >= 0 && len(seeds) < maxRollSeeds; i-- {
		address := string(records[i].Payload)
		if records[i].Key != m.options.Self.Host && address != "" {
			seeds = append(seeds, address)
		}
	}
	m.mu.Lock()
	m.rolled = seeds
	m.mu.Unlock()
	m.askReconsider()
	return nil
}

// hasPeers reports whether any peer answers.
func (m *Membership) hasPeers() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.neighbours {
		if n.connected {
			return true
		}
	}
	return false
}

// seeds returns the control addresses to begin with: those of the settings and
// those of the log.
func (m *Membership) seeds() []string {
	return append(m.options.Seeds[:len(m.options.Seeds):len(m.options.Seeds)], m.rolled...)
}
